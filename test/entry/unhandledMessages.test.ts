import { create } from '@bufbuild/protobuf';
import { expect, test } from 'vitest';
import EntryLinks from '../../src/entry/EntryLinks';
import SidecarLinks from '../../src/entry/SidecarLinks';
import {
  DoneSchema,
  GrantSchema,
  HeartbeatSchema,
  HelloSchema,
} from '../../src/gen/magnoliakeel/v1/peer_pb';
import type Link from '../../src/link/Link';
import type PeerMessage from '../../src/link/PeerMessage';
import ManualTimer from '../support/ManualTimer';

type Links = EntryLinks | SidecarLinks;
type Options = Parameters<typeof EntryLinks.create>[0] & Parameters<typeof SidecarLinks.create>[0];

/** A link that delivers a result without its task and then a grant. */
function createLink(): Link {
  const end = new AbortController();
  async function* messages(): AsyncGenerator<PeerMessage, void, void> {
    yield { case: 'done', value: create(DoneSchema) };
    yield { case: 'grant', value: create(GrantSchema) };
  }
  return {
    ...{ messages, closed: end.signal, close: () => end.abort(), send: () => undefined },
    ...{ peer: create(HelloSchema, { incarnation: 'p.1' }), lastSentAt: 0, lastReceivedAt: 0 },
  };
}

/** Serves such a link and returns the callbacks that were called. */
async function serve(createLinks: (options: Options, onCall: (name: string) => void) => Links) {
  const calls: string[] = [];
  const onCall = (name: string): void => {
    calls.push(name);
    if (name === 'done') throw new Error('no task');
  };
  const record = (name: string) => () => {
    calls.push(name);
  };
  const options = {
    ...{ timer: ManualTimer.create(), keepAlive: { intervalMs: 1, suspectMs: 2, closeMs: 3 } },
    ...{ sendInitialState: () => undefined, onLinked: () => undefined, witnessMs: 1 },
    ...{ heartbeat: () => create(HeartbeatSchema), onUnlinked: record('unlinked') },
    onMessageError: (_peer: unknown, message: PeerMessage) => calls.push(`failed: ${message.case}`),
  } as unknown as Options;
  await createLinks(options, onCall).serve(createLink());
  return calls;
}

// Guards against a message that lacks a required field, or has a value of a later version, ending the async
// task that serves its link. On a dialled link the unhandled rejection would end the process; on an accepted
// link the end of the link would not be reported.
test('a message from another entry that cannot be handled is skipped', async () => {
  const calls = await serve((options, onCall) =>
    EntryLinks.create({ ...options, onMessage: (_from, message) => onCall(message.case) }),
  );
  expect(calls).toEqual(['done', 'failed: done', 'grant', 'unlinked']);
});

test('a message from a sidecar that cannot be handled is skipped', async () => {
  const calls = await serve((options, onCall) => {
    const handler = (name: string) => () => onCall(name);
    const dispatcher = { linkOpened: () => undefined, linkEnded: handler('unlinked') };
    const parts = { ...dispatcher, handleDone: handler('done'), handleGrant: handler('grant') };
    return SidecarLinks.create(options, parts as never, {} as never);
  });
  expect(calls).toEqual(['done', 'failed: done', 'grant', 'unlinked']);
});
