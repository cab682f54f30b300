import { create } from '@bufbuild/protobuf';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import { createServer } from 'node:http2';
import type { AddressInfo } from 'node:net';
import { afterEach, expect, test } from 'vitest';
import {
  type Frame,
  FrameSchema,
  HeartbeatSchema,
  MessageSchema,
  Peer,
} from '../../src/gen/magnoliakeel/v1/peer_pb';
import ConnectNetwork from '../../src/link/ConnectNetwork';
import type PeerMessage from '../../src/link/PeerMessage';
import PeerSession from '../../src/link/PeerSession';
import ManualTimer from '../support/ManualTimer';
import never from '../support/never';
import NetworkCase from '../support/NetworkCase';
import valueOf from '../support/valueOf';

// Processes of an earlier version have the RPC library read and write their links, and are replaced one by one.

const ends: (() => unknown)[] = [];

afterEach(async () => {
  for (const end of ends.splice(0)) await end();
});

const heartbeat: PeerMessage = { case: 'heartbeat', value: create(HeartbeatSchema) };

function frameOf(...kinds: readonly PeerMessage[]): Frame {
  return create(FrameSchema, { messages: kinds.map((kind) => create(MessageSchema, { kind })) });
}

function helloOf(instance: string): PeerMessage {
  return { case: 'hello', value: NetworkCase.hello(instance) };
}

function casesOf({ messages }: Frame): readonly (string | undefined)[] {
  return messages.map(({ kind }) => kind.case);
}

test('a process links to one whose links the library serves', async () => {
  const routes = connectNodeAdapter({
    routes: (router) =>
      router.service(Peer, {
        async *link(frames) {
          yield frameOf(helloOf('far'));
          for await (const frame of frames) yield frame;
        },
      }),
  });
  const server = createServer(routes);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const network = ConnectNetwork.create(ManualTimer.create());
  ends.push(
    () => server.close(),
    () => network.close(),
  );
  const link = valueOf(await network.dial(`127.0.0.1:${port}`, NetworkCase.hello('near')));
  link.send(heartbeat);
  const kinds: string[] = [];
  for await (const message of link.messages()) {
    kinds.push(message.case);
    if (message.case === 'heartbeat') link.close();
  }
  expect([link.peer.instance, kinds, link.failure]).toEqual([
    'far',
    ['hello', 'heartbeat'],
    undefined,
  ]);
});

test('a process serves the links of one that dials by the library', async () => {
  const far = await NetworkCase.start(NetworkCase.implementations.connect!, {
    link: async (link) => {
      link.send(heartbeat);
      for await (const message of link.messages()) if (message.case === 'heartbeat') link.close();
    },
  });
  const session = PeerSession.create(far.listener.address, ManualTimer.create(), 1_000);
  ends.push(
    () => session.close(),
    () => far.stop(),
  );
  await session.open();
  async function* frames(): AsyncGenerator<Frame> {
    yield frameOf(helloOf('near'));
    yield frameOf(heartbeat);
    await never();
  }
  const kinds = [];
  for await (const frame of session.client.link(frames())) kinds.push(...casesOf(frame));
  expect(kinds).toEqual(['hello', 'heartbeat']);
});
