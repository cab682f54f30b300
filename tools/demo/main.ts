import { request } from 'undici';
import Cluster from '../harness/Cluster';
import demoManifest from './demoManifest';

const TASKS = 320;
const JOB = 'demo-job';
const created = String(Date.now());

const cluster = await Cluster.start(
  { entries: 3, backends: 4, slots: 8, connections: 64, zones: 3 },
  demoManifest,
);
const problems: string[] = [];
try {
  await run();
} catch (error) {
  problems.push((error as Error).message);
} finally {
  if (process.env.VERBOSE) cluster.processes.printAll();
  await cluster.stop();
}
problems.forEach((problem) => process.stdout.write(`problem: ${problem}\n`));
process.stdout.write(problems.length === 0 ? 'The demo passed.\n' : 'The demo failed.\n');
process.exit(problems.length === 0 ? 0 : 1);

async function run(): Promise<void> {
  await ready();
  const [first, second] = cluster.entryNames;
  const answer = await submit(first!);
  print('first answer', summary(answer));
  const again = await submit(second!);
  print('resubmitted to another entry', summary(again));
  check(answer.outcome === 'completed', `the outcome is ${answer.outcome}: ${answer.reason ?? ''}`);
  check(answer.results?.length === TASKS, `${answer.results?.length} results of ${TASKS}`);
  check(
    JSON.stringify(answer) === JSON.stringify(again),
    'the resubmission got a different answer',
  );
  const inOrder = answer.results?.every(
    ({ index, output }, at) => index === at && output.output.n === at,
  );
  check(inOrder === true, 'a result stands at a wrong place');
  const starts = await cluster.starts();
  const counts = [...starts.values()];
  print('tasks started', `${starts.size}, most starts of one task: ${Math.max(...counts)}`);
  check(starts.size === TASKS, `${starts.size} tasks were started`);
  check(
    counts.every((count) => count === 1),
    'a task was started twice',
  );
  print('processes', [...cluster.processes.names].join(', '));
}

async function ready(): Promise<void> {
  await Promise.all(cluster.entryNames.map((entry) => cluster.processes.waitFor(entry, /view 3/)));
}

interface DemoAnswer {
  readonly outcome: string;
  readonly reason?: string;
  readonly results?: readonly {
    readonly index: number;
    readonly output: { readonly output: { readonly n: number } };
  }[];
}

async function submit(entry: string): Promise<DemoAnswer> {
  const tasks = Array.from({ length: TASKS }, (_, n) => ({ input: { ms: 50, output: { n } } }));
  const url = `${cluster.callersOf(entry)}/v1/services/booking/jobs/${JOB}?wait=8000`;
  const { body } = await request(url, {
    method: 'PUT',
    headers: { 'magnoliakeel-created': created },
    body: JSON.stringify({ tasks }),
  });
  return (await body.json()) as DemoAnswer;
}

function summary(answer: DemoAnswer): string {
  return `${answer.outcome}, ${answer.results?.length ?? 0} results`;
}

function check(holds: boolean, problem: string): void {
  if (!holds) problems.push(problem);
}

function print(what: string, value: string): void {
  process.stdout.write(`${what}: ${value}\n`);
}
