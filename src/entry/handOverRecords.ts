import { create } from '@bufbuild/protobuf';
import ownerOf from '../core/ownerOf';
import { HandoverRequestSchema, type JobRecord, type View } from '../gen/magnoliakeel/v1/peer_pb';
import type Network from '../link/Network';

/**
 * Hands over the records of a leaving entry to the next owners of their jobs.
 * Resolves to whether all of them were accepted.
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
  const handovers = owners.flatMap(({ incarnation, address }) =>
    chunksOf(byOwner.get(incarnation) ?? []).map((chunk) =>
      network.handover(address, create(HandoverRequestSchema, { view, records: chunk })),
    ),
  );
  const replies = await Promise.all(handovers);
  return replies.every((reply) => reply.isOk());
}

const RECORDS_PER_REQUEST = 200;

function chunksOf(records: readonly JobRecord[]): JobRecord[][] {
  const chunkCount = Math.ceil(records.length / RECORDS_PER_REQUEST);
  return Array.from({ length: chunkCount }, (_, chunk) =>
    records.slice(chunk * RECORDS_PER_REQUEST, (chunk + 1) * RECORDS_PER_REQUEST),
  );
}
