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

/** A link over which a result without its task arrives, and then a grant. */
function linkOf(): Link {
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

/** What the parts around links were told while such a link was served. */
async function serve(make: (options: Options, hear: (name: string) => void) => Links) {
  const seen: string[] = [];
  const hear = (name: string): void => {
    seen.push(name);
    if (name === 'done') throw new Error('no task');
  };
  const note = (name: string) => () => {
    seen.push(name);
  };
  const options = {
    ...{ timer: ManualTimer.create(), keepAlive: { intervalMs: 1, suspectMs: 2, closeMs: 3 } },
    ...{ greet: () => undefined, linked: () => undefined, witnessMs: 1 },
    ...{ heartbeat: () => create(HeartbeatSchema), unlinked: note('unlinked') },
    failed: (_peer: unknown, message: PeerMessage) => seen.push(`failed: ${message.case}`),
  } as unknown as Options;
  await make(options, hear).serve(linkOf());
  return seen;
}

// A message without a part that its handler needs, or with a word of a later version, threw out of the task
// that serves the link. On a link that the entry had dialled nobody handled that rejection, so that it would
// have ended the process; on one that it had accepted, nobody was told that the link had ended.
test('a message of another entry that cannot be handled is passed over', async () => {
  const seen = await serve((options, hear) =>
    EntryLinks.create({ ...options, receive: (_from, message) => hear(message.case) }),
  );
  expect(seen).toEqual(['done', 'failed: done', 'grant', 'unlinked']);
});

test('a message of a sidecar that cannot be handled is passed over', async () => {
  const seen = await serve((options, hear) => {
    const told = (name: string) => () => hear(name);
    const dispatcher = { linkOpened: () => undefined, linkEnded: told('unlinked') };
    const parts = { ...dispatcher, handleDone: told('done'), handleGrant: told('grant') };
    return SidecarLinks.create(options, parts as never, {} as never);
  });
  expect(seen).toEqual(['done', 'failed: done', 'grant', 'unlinked']);
});
