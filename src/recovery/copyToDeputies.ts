import { create } from '@bufbuild/protobuf';
import eligibleOwners from '../core/eligibleOwners';
import type TimerService from '../core/TimerService';
import { HandoverRequestSchema, type JobRecord, type View } from '../gen/magnoliakeel/v1/peer_pb';
import type Network from '../link/Network';
import deputiesOf from './deputiesOf';

interface CopyOptions {
  readonly timer: TimerService;
  readonly network: Pick<Network, 'handover'>;
  readonly view: View;
}

/**
 * Copies the record of a cancelled job to its deputies, since sidecars can't tell that tasks must not be started. Resolves
 * when they have it, or when they take too long.
 */
export default async function copyToDeputies(
  record: JobRecord,
  { timer, network, view }: CopyOptions,
): Promise<void> {
  const deputies = deputiesOf(record.job, eligibleOwners(view));
  const addresses = view.members
    .filter(({ incarnation }) => deputies.includes(incarnation))
    .map(({ address }) => address);
  const req = create(HandoverRequestSchema, { view, records: [record] });
  const settled = new AbortController();
  await Promise.race([
    Promise.all(addresses.map((address) => network.handover(address, req))),
    timer.sleep(COPY_TIMEOUT_MS, settled.signal),
  ]);
  settled.abort();
}

/** How long a cancellation waits until it is copied, ms. */
const COPY_TIMEOUT_MS = 1_000;
