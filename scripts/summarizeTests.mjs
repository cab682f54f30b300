// Reads vitest's JSON report, prints what failed and ends with "N passed, N failed". The exit code
// is 0 when all failures are listed in KNOWN-RED.txt ("test | cause | issue" on each line).
//
// usage: node scripts/summarizeTests.mjs <report> <exit code of vitest>
import { existsSync, readFileSync } from 'node:fs';
import { relative } from 'node:path';
import process from 'node:process';

const KNOWN_RED_FILE = 'KNOWN-RED.txt';
const KNOWN_RED_LIMIT = 3;

const [reportFile, exitCode] = process.argv.slice(2);
const tests = readTests(reportFile);
const failed = tests.filter((test) => test.status === 'failed');
const passed = tests.filter((test) => test.status === 'passed');
const notRun = tests.filter((test) => !['failed', 'passed'].includes(test.status));
const knownRed = readKnownRed();

// A run that ends in an error that no test shows, such as an unhandled rejection, counts as one.
if (exitCode !== '0' && failed.length === 0) {
  failed.push({ name: `the test run, which ended with code ${exitCode}`, status: 'failed' });
}

const complaints = [
  ...failed.filter(({ name }) => !knownRed.has(name)).map(({ name }) => `failed: ${name}`),
  ...[...knownRed.keys()]
    .filter((name) => !tests.some((test) => test.name === name))
    .map((name) => `in ${KNOWN_RED_FILE}, but there is no such test: ${name}`),
];
if (knownRed.size > KNOWN_RED_LIMIT) {
  complaints.push(
    `${KNOWN_RED_FILE} lists ${knownRed.size} tests, at most ${KNOWN_RED_LIMIT} may be`,
  );
}

knownRed.forEach((line, name) => {
  const red = failed.some((test) => test.name === name);
  print(`${red ? 'known red' : 'listed as red, but did not fail'}: ${line}`);
});
notRun.forEach(({ name }) => print(`not run: ${name}`));
complaints.forEach((complaint) => print(complaint));
print(`${passed.length} passed, ${failed.length} failed`);
process.exitCode = complaints.length === 0 ? 0 : 1;

function print(line) {
  process.stdout.write(`${line}\n`);
}

function readTests(file) {
  const text = existsSync(file) ? readFileSync(file, 'utf8') : '';
  if (text === '') return [{ name: 'the test run, which left no report', status: 'failed' }];
  return JSON.parse(text).testResults.flatMap(readFile);
}

/** The tests of one file; a file that failed before its tests counts as one failure. */
function readFile({ name, status, assertionResults }) {
  const file = relative(process.cwd(), name);
  const found = assertionResults.map(({ ancestorTitles, title, status: state }) => ({
    name: [file, ...ancestorTitles, title].join(' > '),
    status: state,
  }));
  const shown = found.some((test) => test.status === 'failed');
  return status === 'failed' && !shown ? [...found, { name: file, status }] : found;
}

function readKnownRed() {
  if (!existsSync(KNOWN_RED_FILE)) return new Map();
  const lines = readFileSync(KNOWN_RED_FILE, 'utf8').split('\n').filter(Boolean);
  return new Map(lines.map((line) => [line.split(' | ')[0].trim(), line]));
}
