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

// In earlier versions the RPC library reads and writes the links. During an upgrade processes are replaced one by
// one, so both versions have to work together.

const cleanups: (() => unknown)[] = [];

afterEach(async () => {
  for (const cleanUp of cleanups.splice(0)) await cleanUp();
});

const heartbeat: PeerMessage = { case: 'heartbeat', value: create(HeartbeatSchema) };

function frameOf(...kinds: readonly PeerMessage[]): Frame {
  return create(FrameSchema, { messages: kinds.map((kind) => create(MessageSchema, { kind })) });
}

function helloMessage(instance: string): PeerMessage {
  return { case: 'hello', value: NetworkCase.hello(instance) };
}

function casesOf({ messages }: Frame): readonly (string | undefined)[] {
  return messages.map(({ kind }) => kind.case);
}

test('links to a process whose links are served by the RPC library', async () => {
  const routes = connectNodeAdapter({
    routes: (router) =>
      router.service(Peer, {
        async *link(frames) {
          yield frameOf(helloMessage('far'));
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
  cleanups.push(
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

test('serves the links of a process that dials with the RPC library', async () => {
  const far = await NetworkCase.start(NetworkCase.implementations.connect!, {
    link: async (link) => {
      link.send(heartbeat);
      for await (const message of link.messages()) if (message.case === 'heartbeat') link.close();
    },
  });
  const session = PeerSession.create(far.listener.address, ManualTimer.create(), 1_000);
  cleanups.push(
    () => session.close(),
    () => far.stop(),
  );
  await session.open();
  async function* frames(): AsyncGenerator<Frame> {
    yield frameOf(helloMessage('near'));
    yield frameOf(heartbeat);
    await never();
  }
  const kinds = [];
  for await (const frame of session.client.link(frames())) kinds.push(...casesOf(frame));
  expect(kinds).toEqual(['hello', 'heartbeat']);
});
