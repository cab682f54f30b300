import { create } from '@bufbuild/protobuf';
import ownerOf from '../core/ownerOf';
import { HandoverRequestSchema, type JobRecord, type View } from '../gen/magnoliakeel/v1/peer_pb';
import type Network from '../link/Network';

/**
 * Gives the records of a leaving entry to the entries that own their jobs next,
 * and says whether all of them were taken.
 */
export default async function handOverRecords(
  records: readonly JobRecord[],
  view: View,
  self: string,
  network: Pick<Network, 'handover'>,
): Promise<boolean> {
  const owners = view.members.filter(
    ({ leaving, incarnation }) => !leaving && incarnation !== self,
  );
  const names = owners.map(({ incarnation }) => incarnation);
  if (names.length === 0) return records.length === 0;
  const byOwner = new Map<string, JobRecord[]>();
  records.forEach((record) => {
    const owner = ownerOf(record.job, names)!;
    byOwner.set(owner, [...(byOwner.get(owner) ?? []), record]);
  });
  const given = owners.flatMap(({ incarnation, address }) =>
    batches(byOwner.get(incarnation) ?? []).map((batch) =>
      network.handover(address, create(HandoverRequestSchema, { view, records: batch })),
    ),
  );
  const replies = await Promise.all(given);
  return replies.every((reply) => reply.isOk());
}

const BATCH_RECORDS = 200;

function batches(records: readonly JobRecord[]): JobRecord[][] {
  const count = Math.ceil(records.length / BATCH_RECORDS);
  return Array.from({ length: count }, (_, at) =>
    records.slice(at * BATCH_RECORDS, (at + 1) * BATCH_RECORDS),
  );
}
