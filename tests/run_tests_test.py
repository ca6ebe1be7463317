"""Tests of .ci/run_tests, which run it on temporary build folders with ctest files."""

import pathlib
import subprocess
import tempfile
import unittest

RUN_TESTS = pathlib.Path(__file__).resolve().parent.parent / ".ci" / "run_tests"
PASSES = "/bin/true"
FAILS = "/bin/false"
FAILS_FIRST = '/bin/sh -c "test -e ran || { touch ran; exit 1; }"'
ALL_PASSED = "100% tests passed, 0 tests failed out of "


class RunTestsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.build = pathlib.Path(folder.name)
        self.known_red = self.build / "KNOWN-RED.txt"

    def run_tests(self, tests, known_red=None):
        """Runs the script on `tests` (command by test name) with the text of the list, if any."""
        lines = [f"add_test([=[{name}]=] {command})" for name, command in tests.items()]
        (self.build / "CTestTestfile.cmake").write_text("\n".join(lines) + "\n")
        if known_red is not None:
            self.known_red.write_text(known_red)
        return subprocess.run(
            [RUN_TESTS, self.build, self.known_red],
            check=False,
            capture_output=True,
            text=True,
        )

    def assert_refused(self, result, reason):
        """Asserts that the run failed with this reason, before the unlisted tests were run."""
        self.assertEqual(result.returncode, 1)
        self.assertIn(reason, result.stderr)
        self.assertFalse(result.stdout.rstrip().endswith("sec"), result.stdout)

    def test_passes_without_a_list(self):
        result = self.run_tests({"a": PASSES, "b": PASSES})
        self.assertEqual(result.returncode, 0)
        self.assertIn(ALL_PASSED + "2", result.stdout)

    def test_fails_without_a_list(self):
        result = self.run_tests({"a": PASSES, "b": FAILS})
        self.assertEqual(result.returncode, 1)
        self.assertIn("50% tests passed, 1 tests failed out of 2", result.stdout)

    def test_fails_when_there_are_no_tests(self):
        self.assertEqual(self.run_tests({}).returncode, 1)

    def test_list_of_comments_and_blank_lines_is_empty(self):
        result = self.run_tests({"a": PASSES}, "# test | cause\n\n  # another\n")
        self.assertEqual(result.returncode, 0)

    def test_known_red_may_fail_and_is_printed(self):
        result = self.run_tests({"a": PASSES, "b": FAILS}, "b | a fault | 17\n")
        self.assertEqual(result.returncode, 0, result.stderr)
        self.assertIn("Known red: b | a fault | 17", result.stdout)
        self.assertIn("Known red: b failed 3 of 3 runs", result.stdout)

    def test_output_ends_in_the_summary_of_the_other_tests(self):
        result = self.run_tests({"a": PASSES, "b": FAILS}, "b | a fault | 17\n")
        last_lines = [line for line in result.stdout.splitlines() if line][-2:]
        self.assertEqual(last_lines[0], ALL_PASSED + "1")
        self.assertTrue(last_lines[1].startswith("Total Test time (real) ="), last_lines)

    def test_other_failure_fails_beside_a_known_red(self):
        result = self.run_tests({"a": FAILS, "b": FAILS}, "b | a fault | 17\n")
        self.assertEqual(result.returncode, 1)
        self.assertIn("0% tests passed, 1 tests failed out of 1", result.stdout)

    def test_only_the_named_test_is_excused(self):
        # The listed name has special characters of regular expressions. The other names contain the
        # listed name or would match it as a regular expression.
        for other in ("Suite/T.ab/1", "Suite/T.a+b/10", "xSuite/T.a+b/1", "Suite/Tza+b/1"):
            with self.subTest(other=other):
                tests = {"a": PASSES, "Suite/T.a+b/1": FAILS, other: FAILS}
                result = self.run_tests(tests, "Suite/T.a+b/1 | a fault | 17\n")
                self.assertEqual(result.returncode, 1)
                self.assertIn("50% tests passed, 1 tests failed out of 2", result.stdout)

    def test_three_entries_are_allowed(self):
        tests = {"a": PASSES, "b": FAILS, "c": FAILS, "d": FAILS}
        result = self.run_tests(tests, "b | x | 1\nc | x | 1\nd | x | 1\n")
        self.assertEqual(result.returncode, 0, result.stderr)

    def test_four_entries_are_refused(self):
        tests = {"a": PASSES, "b": FAILS, "c": FAILS, "d": FAILS, "e": FAILS}
        result = self.run_tests(tests, "b | x | 1\nc | x | 1\nd | x | 1\ne | x | 1\n")
        self.assert_refused(result, "4 entries, at most 3 are allowed")

    def test_malformed_lines_are_refused(self):
        for line in ("b", "b | a fault", "b |  | 17", "b | a fault | 17 | more", "b|a fault|17"):
            with self.subTest(line=line):
                result = self.run_tests({"a": PASSES, "b": FAILS}, line + "\n")
                self.assert_refused(result, "line 1 is not 'test | cause | issue'")

    def test_test_listed_twice_is_refused(self):
        result = self.run_tests({"a": PASSES, "b": FAILS}, "b | x | 1\nb | y | 2\n")
        self.assert_refused(result, "listed twice")

    def test_entry_without_a_test_is_refused(self):
        result = self.run_tests({"a": PASSES}, "gone | a fault | 17\n")
        self.assert_refused(result, "there is no test gone")

    def test_entry_that_always_passes_is_refused(self):
        result = self.run_tests({"a": PASSES, "b": PASSES}, "b | a fault | 17\n")
        self.assert_refused(result, "b passes every time")

    def test_entry_that_passes_at_times_is_allowed(self):
        result = self.run_tests({"a": PASSES, "b": FAILS_FIRST}, "b | a fault | 17\n")
        self.assertEqual(result.returncode, 0, result.stderr)
        self.assertIn("Known red: b failed 1 of 3 runs", result.stdout)

    def test_flaky_entry_may_pass_every_time(self):
        result = self.run_tests({"a": PASSES, "b": PASSES}, "b | flaky: a race | 17\n")
        self.assertEqual(result.returncode, 0, result.stderr)
        self.assertIn("Known red: b failed 0 of 3 runs", result.stdout)


if __name__ == "__main__":
    unittest.main()
