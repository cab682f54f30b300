import { err, ok, type Result } from 'neverthrow';
import exitCodes from '../core/exitCodes';
import nearestWord from '../core/nearestWord';
import type JobReport from '../operators/JobReport';
import requestFromAnyEntry from './requestFromAnyEntry';
import type Command from './Command';
import findTargets from './findTargets';
import formatTable from './formatTable';
import type CommandFailure from './CommandFailure';
import type CommandReport from './CommandReport';
import printResultOf from './printResultOf';
import targetOptions from './targetOptions';

/** Finds a job by its id and shows where its tasks ran. */
const jobs: Command = {
  args: '<service> <id>',
  description: 'Find a job: which entry has it, how far it is and where its tasks ran',
  options: [
    targetOptions.entry,
    targetOptions.targets,
    { flags: '--kind <kind>', description: 'What has the id: job or request', default: 'job' },
  ],
  run: printResultOf(async (input, context) => {
    const targets = await findTargets(input, context, ['entry']);
    if (targets.isErr()) return err(targets.error);
    const [service, id] = input.args.map(encodeURIComponent);
    const kind = encodeURIComponent(String(input.options.kind));
    const path = `/v1/jobs/${service}/${id}?kind=${kind}`;
    const answer = await requestFromAnyEntry(targets.value.entries, path, context);
    return answer
      .andThen(({ body }) => (isJobReport(body) ? ok(body) : err(notAnEntry(body))))
      .andThen(describe);
  }),
};

export default jobs;

function isJobReport(body: unknown): body is JobReport {
  return typeof body === 'object' && body !== null && 'holders' in body;
}

function notAnEntry(body: unknown): CommandFailure {
  return {
    exitCode: exitCodes.unreachable,
    lines: [`the process asked cannot find jobs, it may not be an entry: ${JSON.stringify(body)}`],
  };
}

function describe(report: JobReport): Result<CommandReport, CommandFailure> {
  const { holders } = report;
  if (holders.length === 0) return err(jobNotFound(report));
  return ok({ lines: holders.flatMap((holder) => holderLines(report, holder)), json: report });
}

function holderLines(
  { service, id, owner }: JobReport,
  { entry, outcome, reason, size, finished, tasks }: JobReport['holders'][number],
): string[] {
  const reasonText = reason ? ` (${reason})` : '';
  const location = entry === owner ? `${entry}, its owner` : `${entry}; its owner is ${owner}`;
  const rows = tasks.map(({ index, sidecar, status }) => [index, sidecar || '-', status]);
  return [
    `${service}/${id}: ${outcome}${reasonText}, ${finished} of ${size} tasks finished, at ${location}`,
    ...(rows.length > 0 ? formatTable([['TASK', 'SIDECAR', 'STATUS'], ...rows]) : []),
  ];
}

function jobNotFound({ service, id, owner, silent, services, ...rest }: JobReport): CommandFailure {
  const nearest = services.includes(service) ? undefined : nearestWord(service, services);
  const hint = nearest === undefined ? '' : `, did you mean the service "${nearest}"?`;
  const unanswered = silent.length > 0 ? [`These did not answer: ${silent.join(', ')}`] : [];
  return {
    exitCode: exitCodes.notFound,
    lines: [`no entry has a record of ${service}/${id}${hint}`, ...unanswered],
    json: { service, id, owner, silent, services, ...rest },
  };
}
