import { create } from '@bufbuild/protobuf';
import jobKey from '../core/jobKey';
import ownerOf from '../core/ownerOf';
import type TimerService from '../core/TimerService';
import type Entry from '../entry/Entry';
import {
  InspectRequestSchema,
  type InspectResponse,
  type Member,
} from '../gen/magnoliakeel/v1/peer_pb';
import type Network from '../link/Network';
import collectStatus from './collectStatus';
import describeHolder from './describeHolder';
import type JobReport from './JobReport';
import type OperatorRoute from './OperatorRoute';

/** Dependencies of the routes besides the entry. */
interface RouteDependencies {
  readonly timer: TimerService;
  readonly network: Pick<Network, 'inspect'>;
}

/** The routes that only entries have: the status of the system, and the records of a job. */
export default function entryRoutes(
  entry: Entry,
  dependencies: RouteDependencies,
): OperatorRoute[] {
  return [
    {
      method: 'GET',
      path: /^\/v1\/status$/,
      handle: async () => {
        const own = entry.inspect(create(InspectRequestSchema));
        const inspected = await inspectMembers(entry, dependencies, '');
        return { status: 200, body: collectStatus(own, entry.views.current, inspected) };
      },
    },
    {
      method: 'GET',
      path: /^\/v1\/jobs\/([^/]+)\/([^/]+)$/,
      handle: async ([service, id], query) => {
        const kind = query.get('kind') ?? 'job';
        const key = jobKey(service!, kind, id!);
        const inspected = await inspectMembers(entry, dependencies, key);
        const report: JobReport = {
          service: service!,
          id: id!,
          owner: ownerName(entry, key),
          holders: inspected.flatMap(({ answer }) => (answer && describeHolder(answer)) ?? []),
          services: entry.manifest.current?.services.map(({ name }) => name) ?? [],
          silent: inspected.flatMap(({ member, answer }) => (answer ? [] : [member.instance])),
        };
        return { status: report.holders.length > 0 ? 200 : 404, body: report };
      },
    },
  ];
}

/** Time-out for the answers of the other members, ms. */
const INSPECT_TIMEOUT_MS = 1500;

async function inspectMembers(entry: Entry, dependencies: RouteDependencies, job: string) {
  const { members } = entry.views.current;
  return Promise.all(
    members.map(async (member) => ({
      member,
      answer: await inspectMember(entry, dependencies, member, job),
    })),
  );
}

async function inspectMember(
  entry: Entry,
  { timer, network }: RouteDependencies,
  member: Member,
  job: string,
): Promise<InspectResponse | undefined> {
  const req = create(InspectRequestSchema, { job });
  if (member.incarnation === entry.incarnation) return entry.inspect(req);
  const answered = new AbortController();
  const timeout = timer.sleep(INSPECT_TIMEOUT_MS, answered.signal).then(() => undefined);
  const answer = network.inspect(member.address, req).unwrapOr(undefined);
  const first = await Promise.race([answer, timeout]);
  answered.abort();
  return first?.incarnation === member.incarnation ? first : undefined;
}

function ownerName(entry: Entry, key: string): string {
  const members = entry.views.current.members.filter(({ leaving }) => !leaving);
  const owner = ownerOf(
    key,
    members.map(({ incarnation }) => incarnation),
  );
  return members.find(({ incarnation }) => incarnation === owner)?.instance ?? '';
}
