import type { InspectResponse, Member, View } from '../gen/magnoliakeel/v1/peer_pb';
import type ProcessStatus from './ProcessStatus';
import type SystemStatus from './SystemStatus';

/** One member of the view with its answer, which is undefined if it did not answer. */
interface Inspected {
  readonly member: Member;
  readonly answer: InspectResponse | undefined;
}

/** Combines the answers of a view's members into one status of the system. */
export default function collectStatus(
  own: InspectResponse,
  view: View,
  inspected: readonly Inspected[],
): SystemStatus {
  const entries = inspected.map(entryStatus);
  const isListed = entries.some(({ incarnation }) => incarnation === own.incarnation);
  if (!isListed) entries.push(answeredStatus(own));
  const answers = inspected.flatMap(({ answer }) => answer ?? []);
  return {
    asked: own.instance,
    viewNumber: Number(view.number),
    configurationVersion: Number(own.configurationVersion),
    processes: [
      ...entries.sort(byInstance),
      ...sidecarStatuses(isListed ? answers : [...answers, own]).sort(byInstance),
    ],
  };
}

function entryStatus({ member, answer }: Inspected): ProcessStatus {
  if (answer) return answeredStatus(answer);
  const { instance, incarnation, zone, operators, leaving } = member;
  return { ...unknownStatus, role: 'entry', instance, incarnation, zone, operators, leaving };
}

function answeredStatus(answer: InspectResponse): ProcessStatus {
  const { instance, incarnation, zone, operators, leaving, jobs } = answer;
  return {
    ...unknownStatus,
    instance,
    incarnation,
    zone,
    operators,
    leaving,
    jobs,
    role: 'entry',
    configurationVersion: Number(answer.configurationVersion),
    viewNumber: Number(answer.viewNumber),
    reachable: true,
    loads: answer.loads.map(({ service, idle, queued, oldestWaitMs, teams }) => ({
      service,
      idle,
      queued,
      oldestWaitMs,
      teams: teams.map(({ team, ...load }) => ({
        team,
        running: load.running,
        queued: load.queued,
      })),
    })),
  };
}

/** Merges the reports of all entries into one status for each sidecar, with the newest that any of them knows. */
function sidecarStatuses(answers: readonly InspectResponse[]): ProcessStatus[] {
  const merged = new Map<string, ProcessStatus>();
  answers
    .flatMap(({ sidecars }) => sidecars)
    .forEach((report) => {
      const { instance, incarnation, zone, operators } = report;
      const known = merged.get(incarnation);
      const services = [...new Set([...(known?.services ?? []), ...report.services])];
      merged.set(incarnation, {
        ...unknownStatus,
        instance,
        incarnation,
        zone,
        operators,
        services,
        role: 'sidecar',
        leaving: report.leaving || (known?.leaving ?? false),
        reachable: !report.suspected || (known?.reachable ?? false),
        configurationVersion: Math.max(
          known?.configurationVersion ?? 0,
          Number(report.configurationVersion),
        ),
        links: (known?.links ?? 0) + (report.linked ? 1 : 0),
      });
    });
  return [...merged.values()];
}

const unknownStatus = {
  operators: '',
  configurationVersion: 0,
  viewNumber: 0,
  leaving: false,
  reachable: false,
  jobs: 0,
  loads: [],
  services: [],
  links: 0,
} as const;

function byInstance(a: ProcessStatus, b: ProcessStatus): number {
  return a.instance.localeCompare(b.instance, 'en', { numeric: true });
}
