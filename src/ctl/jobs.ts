import { err, ok, type Result } from 'neverthrow';
import exitCodes from '../core/exitCodes';
import nearestWord from '../core/nearestWord';
import type JobReport from '../operators/JobReport';
import askEntries from './askEntries';
import type Command from './Command';
import findTargets from './findTargets';
import formatTable from './formatTable';
import type Problem from './Problem';
import type Report from './Report';
import reporting from './reporting';
import targetOptions from './targetOptions';

/** Finds one job. */
const jobs: Command = {
  args: '<service> <id>',
  description: 'Find a job: which entry has it, how far it is and where its tasks ran',
  options: [
    targetOptions.entry,
    targetOptions.targets,
    { flags: '--kind <kind>', description: 'What has the id: job or request', default: 'job' },
  ],
  run: reporting(async (input, context) => {
    const targets = await findTargets(input, context, ['entry']);
    if (targets.isErr()) return err(targets.error);
    const [service, id] = input.args.map(encodeURIComponent);
    const kind = encodeURIComponent(String(input.options.kind));
    const path = `/v1/jobs/${service}/${id}?kind=${kind}`;
    const answer = await askEntries(targets.value.entries, path, context);
    return answer
      .andThen(({ body }) => (isReport(body) ? ok(body) : err(noReport(body))))
      .andThen(describe);
  }),
};

export default jobs;

function isReport(body: unknown): body is JobReport {
  return typeof body === 'object' && body !== null && 'holders' in body;
}

function noReport(body: unknown): Problem {
  return {
    exitCode: exitCodes.unreachable,
    lines: [`the process asked cannot find jobs, it may not be an entry: ${JSON.stringify(body)}`],
  };
}

function describe(report: JobReport): Result<Report, Problem> {
  const { holders } = report;
  if (holders.length === 0) return err(absent(report));
  return ok({ lines: holders.flatMap((holder) => holderLines(report, holder)), json: report });
}

function holderLines(
  { service, id, owner }: JobReport,
  { entry, outcome, reason, size, finished, tasks }: JobReport['holders'][number],
): string[] {
  const why = reason ? ` (${reason})` : '';
  const where = entry === owner ? `${entry}, its owner` : `${entry}; its owner is ${owner}`;
  const rows = tasks.map(({ index, sidecar, status }) => [index, sidecar || '-', status]);
  return [
    `${service}/${id}: ${outcome}${why}, ${finished} of ${size} tasks finished, at ${where}`,
    ...(rows.length > 0 ? formatTable([['TASK', 'SIDECAR', 'STATUS'], ...rows]) : []),
  ];
}

function absent({ service, id, owner, silent, services, ...rest }: JobReport): Problem {
  const near = services.includes(service) ? undefined : nearestWord(service, services);
  const hint = near === undefined ? '' : `, did you mean the service "${near}"?`;
  const unasked = silent.length > 0 ? [`These did not answer: ${silent.join(', ')}`] : [];
  return {
    exitCode: exitCodes.notFound,
    lines: [`no entry has a record of ${service}/${id}${hint}`, ...unasked],
    json: { service, id, owner, silent, services, ...rest },
  };
}
