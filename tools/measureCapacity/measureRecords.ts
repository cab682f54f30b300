import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { create } from '@bufbuild/protobuf';
import jobKey from '../../src/core/jobKey';
import Job from '../../src/entry/Job';
import {
  StartSchema,
  SubmissionSchema,
  TaskIdSchema,
  TaskResultSchema,
  TaskStatus,
} from '../../src/gen/magnoliakeel/v1/peer_pb';
import Ledger from '../../src/sidecar/Ledger';
import Series from './Series';

const JOBS = 400;
const JOB_SIZES = [1, 20, 320];
const OUTPUT_BYTES = 100;
const GC_PASSES = 4;

const PER_TASK = 'task of the job';

/** Memory of job and ledger records, measured on this process's heap with the daemon's own classes. */
const series = {
  job: Series.over(PER_TASK, 'entry: answered record of a job, outputs of 100 bytes', 'bytes'),
  ledger: Series.over(PER_TASK, 'sidecar: ledger record of a job, outputs of 100 bytes', 'bytes'),
};

/** Runs one round of all job sizes. */
export default async function measureRecords(round: number): Promise<void> {
  setFlagsFromString('--expose_gc');
  const collect = runInNewContext('gc') as () => void;
  [jobs, ledger].forEach((make) => bytesOf(() => make(JOB_SIZES[1]!), collect));
  JOB_SIZES.forEach((size) => {
    series.job.add(round, bytesOf(() => jobs(size), collect) / JOBS, size);
    series.ledger.add(round, bytesOf(() => ledger(size), collect) / JOBS, size);
  });
}

/** The series that the rounds fill. */
measureRecords.series = (): Series[] => Object.values(series);

function bytesOf(make: () => object, collect: () => void): number {
  collectGarbage(collect);
  const before = used();
  const made = make();
  collectGarbage(collect);
  const after = used();
  // Using `made` here keeps the records reachable until the memory has been read.
  return made ? after - before : 0;
}

/** Collects several times, because memory freed by finalizers is only reclaimed by a later collection. */
function collectGarbage(collect: () => void): void {
  for (let pass = 0; pass < GC_PASSES; pass += 1) collect();
}

function used(): number {
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

function jobs(size: number): object {
  return new Map(
    names().map((id) => {
      const key = jobKey('booking', 'job', id);
      const inputs = new Array<Uint8Array>(size).fill(new Uint8Array());
      const submission = create(SubmissionSchema, { service: 'booking', digest: key, inputs });
      const job = Job.fromSubmission(key, submission, 0);
      job.whenAnswered();
      for (let index = 0; index < size; index += 1) {
        job.recordStart(index, 'sidecar');
        const result = { index, status: TaskStatus.COMPLETED, output: output(), runMs: 1 };
        job.recordResult(create(TaskResultSchema, result));
      }
      return [key, job];
    }),
  );
}

function ledger(size: number): object {
  const made = Ledger.create({ maxBytes: 2 ** 40, retentionMs: () => 0, skewMs: 0 });
  names().forEach((id) => {
    const job = jobKey('booking', 'job', id);
    const start = create(StartSchema, { service: 'booking', owner: 'entry', digest: job });
    for (let index = 0; index < size; index += 1) {
      const record = made.recordStart(create(TaskIdSchema, { job, index }), start);
      const status = TaskStatus.COMPLETED;
      made.recordResult(record, { status, output: output(), runMs: 1, reason: '' });
    }
  });
  return made;
}

function names(): string[] {
  return Array.from({ length: JOBS }, (_, index) => `job-${index}`);
}

function output(): Uint8Array {
  return new Uint8Array(OUTPUT_BYTES);
}
