import { create } from '@bufbuild/protobuf';
import {
  type InspectResponse,
  InspectResponseSchema,
  Role,
  SidecarStatusSchema,
  TaskPlaceSchema,
} from '../gen/magnoliakeel/v1/peer_pb';
import type InspectableEntry from './InspectableEntry';
import type EntryOptions from './EntryOptions';

/** Describes an entry for operators, including one job's record if a key is given. */
export default function inspectEntry(
  entry: InspectableEntry,
  { settings, incarnation, operators }: EntryOptions,
  leaving: boolean,
  key: string,
): InspectResponse {
  const job = key ? entry.jobs.records.find(key) : undefined;
  const places = (job?.taskSidecars ?? []).map((sidecar, index) =>
    create(TaskPlaceSchema, { index, sidecar: sidecar ?? '', status: job?.statusOf(index) }),
  );
  return create(InspectResponseSchema, {
    instance: settings.instance,
    incarnation,
    role: Role.ENTRY,
    zone: settings.zone,
    viewNumber: entry.views.number,
    configurationVersion: entry.configurations.number,
    leaving,
    loads: entry.dispatcher.serviceLoads(),
    sidecars: entry.sidecarLinks.all().map((peer) =>
      create(SidecarStatusSchema, {
        instance: peer.instance,
        incarnation: peer.incarnation,
        zone: peer.zone,
        services: [...peer.services],
        configurationVersion: peer.configurationVersion,
        leaving: peer.leaving,
        suspected: peer.suspected || !peer.link,
        operators: peer.operatorsAddress,
        linked: peer.link !== undefined,
      }),
    ),
    jobs: entry.jobs.records.size,
    job: job?.progress(),
    places,
    operators: operators?.() ?? '',
  });
}
