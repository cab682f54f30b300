import {
  RefusalCause,
  TaskStatus,
  type Credit,
  type TaskId,
} from '../../src/gen/magnoliakeel/v1/peer_pb';
import type PeerMessage from '../../src/link/PeerMessage';

type Describers = {
  readonly [Case in PeerMessage['case']]?: (
    value: Extract<PeerMessage, { case: Case }>['value'],
  ) => string;
};

const describers: Describers = {
  grant: ({ credits }) => credits.map(credit).join(' '),
  withdraw: ({ slots, leaving }) => `${slots.join(' ')}${leaving ? ' leaving' : ''}`,
  done: (done) =>
    `${task(done.task)} ${TaskStatus[done.status]} ${text(done.output)} ${done.runMs} ms, credit ${credit(done.credit)}`,
  refuse: ({ task: id, cause }) => `${task(id)} ${RefusalCause[cause]}`,
  reconciled: ({ notHeld }) => `not held: ${notHeld.map(task).join(' ')}`,
  fenced: ({ viewNumber, jobs }) => `view ${viewNumber}: ${jobs.join(' ')}`,
  adopted: ({ jobs }) =>
    jobs
      .flatMap((job) =>
        job.tasks.map(
          ({ index, running, status, output }) =>
            `${job.job}/${index} ${running ? 'running' : `${TaskStatus[status]} ${text(output)}`}`,
        ),
      )
      .join(', '),
  inForce: ({ version }) => String(version),
};

/** A message from a sidecar in one line, for snapshots. */
export default function describeMessage(message: PeerMessage): string {
  const describe = describers[message.case] as
    ((value: PeerMessage['value']) => string) | undefined;
  return `${message.case} ${describe?.(message.value) ?? ''}`.trim();
}

function credit(value?: Credit): string {
  return value ? `${value.slot}.${value.generation}` : 'none';
}

function task(id?: TaskId): string {
  return `${id?.job}/${id?.index}`;
}

function text(bytes: Uint8Array): string {
  return Buffer.from(bytes).toString() || '-';
}
