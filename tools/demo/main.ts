import { request } from 'undici';
import type JobReport from '../../src/operators/JobReport';
import Cluster from '../harness/Cluster';
import type DemoAnswer from './DemoAnswer';
import demoManifest from './demoManifest';

const TASKS = 320;
const TASK_MS = 50;
const SERVICE = 'booking';
const JOB = 'demo-job';
const createdMs = String(Date.now());

const problems: string[] = [];
try {
  const cluster = await Cluster.start(
    { entries: 3, backends: 4, slots: 8, connections: 64, zones: 3 },
    demoManifest,
  );
  try {
    await run(cluster);
  } finally {
    if (process.env.VERBOSE) cluster.processes.printAll();
    await cluster.stop();
  }
} catch (error) {
  problems.push((error as Error).message);
}
problems.forEach((problem) => process.stdout.write(`problem: ${problem}\n`));
process.stdout.write(problems.length === 0 ? 'The demo passed.\n' : 'The demo failed.\n');
process.exit(problems.length === 0 ? 0 : 1);

async function run(cluster: Cluster): Promise<void> {
  await Promise.all(
    cluster.entryNames.map((entry) => cluster.processes.waitFor(entry, /view \d+: \S+, \S+, \S+"/)),
  );
  const { owner } = await inspect(cluster);
  const [first, second] = cluster.entryNames.filter((entry) => entry !== owner);
  print('processes', cluster.processes.names.sort().join(', '));
  print('submitted', `${TASKS} tasks of ${TASK_MS} ms to ${first}; the job's owner is ${owner}`);
  const answer = await submit(cluster, first!);
  print('answer', summary(answer));
  const again = await submit(cluster, second!);
  print(`same job, submitted again to ${second}`, summary(again));
  checkAnswer(answer, again);
  await checkPlacement(cluster, owner);
  await checkStarts(cluster);
}

function checkAnswer(answer: DemoAnswer, again: DemoAnswer): void {
  const { outcome, reason = '', results = [] } = answer;
  check(outcome === 'completed', `the outcome is ${outcome}: ${reason}`);
  check(results.length === TASKS, `${results.length} results of ${TASKS}`);
  const isInOrder = results.every(
    ({ index, output }, position) => index === position && output.output.n === position,
  );
  check(isInOrder, 'a result stands at a wrong place');
  check(JSON.stringify(answer) === JSON.stringify(again), 'the second answer is another');
}

async function checkPlacement(cluster: Cluster, owner: string): Promise<void> {
  const { holders } = await inspect(cluster);
  check(holders.map(({ entry }) => entry).join() === owner, 'another entry than the owner has it');
  const tasks = holders.flatMap((holder) => holder.tasks);
  const sidecars = [...new Set(tasks.map(({ sidecar }) => sidecar.split('.')[0]))].sort();
  print('ran at', sidecars.map((name) => `${name} ${countAt(tasks, name!)}`).join(', '));
  check(sidecars.length > 1, 'the tasks ran at one sidecar only');
}

function countAt(tasks: readonly { readonly sidecar: string }[], name: string): number {
  return tasks.filter(({ sidecar }) => sidecar.split('.')[0] === name).length;
}

async function checkStarts(cluster: Cluster): Promise<void> {
  const starts = await cluster.countStarts();
  const counts = [...starts.values()];
  const maxStarts = Math.max(...counts);
  print(
    'starts per task',
    `${starts.size} tasks, ${Math.min(...counts)} to ${maxStarts} starts each`,
  );
  check(starts.size === TASKS, `${starts.size} tasks were started`);
  check(maxStarts === 1, 'a task was started twice');
}

/** Reads the report on the job that the first entry serves to operators. */
async function inspect(cluster: Cluster): Promise<JobReport> {
  const operators = cluster.operatorsAddress(cluster.entryNames[0]!);
  const { body } = await request(`http://${operators}/v1/jobs/${SERVICE}/${JOB}`);
  return (await body.json()) as JobReport;
}

async function submit(cluster: Cluster, entry: string): Promise<DemoAnswer> {
  const tasks = Array.from({ length: TASKS }, (_, n) => ({
    input: { ms: TASK_MS, output: { n } },
  }));
  const url = `${cluster.callersUrl(entry)}/v1/services/${SERVICE}/jobs/${JOB}?wait=8000`;
  const { body } = await request(url, {
    method: 'PUT',
    headers: { 'magnoliakeel-created': createdMs },
    body: JSON.stringify({ tasks }),
  });
  return (await body.json()) as DemoAnswer;
}

function summary({ outcome, results = [] }: DemoAnswer): string {
  const totalRunMs = results.reduce((sum, { runMs }) => sum + runMs, 0);
  return `${outcome}, ${results.length} results in order, ${totalRunMs} ms of task time`;
}

function check(isMet: boolean, problem: string): void {
  if (!isMet) problems.push(problem);
}

function print(label: string, value: string): void {
  process.stdout.write(`${label}: ${value}\n`);
}
