import type { InspectResponse, Member, View } from '../gen/magnoliakeel/v1/peer_pb';
import type ProcessStatus from './ProcessStatus';
import type SystemStatus from './SystemStatus';

/** One member of the view with its answer; undefined when none came. */
interface Inspected {
  readonly member: Member;
  readonly answer: InspectResponse | undefined;
}

/** Puts the answers of a view's members together to one status of the system. */
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
  return { ...unknown, role: 'entry', instance, incarnation, zone, operators, leaving };
}

function answeredStatus(answer: InspectResponse): ProcessStatus {
  const { instance, incarnation, zone, operators, leaving, jobs } = answer;
  return {
    ...unknown,
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

/** Each sidecar once, with the newest that any entry knows of it. */
function sidecarStatuses(answers: readonly InspectResponse[]): ProcessStatus[] {
  const merged = new Map<string, ProcessStatus>();
  answers
    .flatMap(({ sidecars }) => sidecars)
    .forEach((told) => {
      const { instance, incarnation, zone, operators } = told;
      const known = merged.get(incarnation);
      const services = [...new Set([...(known?.services ?? []), ...told.services])];
      merged.set(incarnation, {
        ...unknown,
        instance,
        incarnation,
        zone,
        operators,
        services,
        role: 'sidecar',
        leaving: told.leaving || (known?.leaving ?? false),
        reachable: !told.suspected || (known?.reachable ?? false),
        configurationVersion: Math.max(
          known?.configurationVersion ?? 0,
          Number(told.configurationVersion),
        ),
        links: (known?.links ?? 0) + (told.linked ? 1 : 0),
      });
    });
  return [...merged.values()];
}

const unknown = {
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

function byInstance(one: ProcessStatus, other: ProcessStatus): number {
  return one.instance.localeCompare(other.instance, 'en', { numeric: true });
}
