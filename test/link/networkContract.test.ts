import { create } from '@bufbuild/protobuf';
import { afterEach, describe, expect, it } from 'vitest';
import {
  ClaimRequestSchema,
  ForwardRequestSchema,
  ForwardResponseSchema,
  GrantSchema,
  InspectRequestSchema,
} from '../../src/gen/magnoliakeel/v1/peer_pb';
import type Link from '../../src/link/Link';
import type PeerHandlers from '../../src/link/PeerHandlers';
import type PeerMessage from '../../src/link/PeerMessage';
import errorOf from '../support/errorOf';
import never from '../support/never';
import NetworkCase from '../support/NetworkCase';
import valueOf from '../support/valueOf';

const BODY_BYTES = 16 * 1024 * 1024;

describe.each(Object.entries(NetworkCase.implementations))('%s network', (_, make) => {
  let current: NetworkCase;

  async function start(handlers: Partial<PeerHandlers> = {}): Promise<NetworkCase> {
    current = await NetworkCase.start(make, handlers);
    return current;
  }

  afterEach(() => current.stop());

  it('exchanges hellos', async () => {
    const { servedLinks } = await start();
    const link = await current.dial();
    expect([link.peer.instance, servedLinks[0]?.peer.instance]).toEqual(['far', 'near']);
  });

  it('keeps the order in both directions', async () => {
    const { servedLinks } = await start();
    const link = await current.dial();
    sendGrants(link, 'near', 500);
    sendGrants(servedLinks[0]!, 'far', 500);
    const read = await Promise.all([readGrants(link, 500), readGrants(servedLinks[0]!, 500)]);
    expect(read).toEqual([names('far', 500), names('near', 500)]);
  });

  it('delivers what the listener sends while the link opens', async () => {
    await start({ link: async (link) => sendGrants(link, 'first', 2) });
    expect(await readGrants(await current.dial(), 3)).toEqual(names('first', 2));
  });

  it('delivers what was sent before a clean close', async () => {
    const { servedLinks } = await start();
    const link = await current.dial();
    sendGrants(servedLinks[0]!, 'last', 3);
    servedLinks[0]!.close();
    expect(await readGrants(link, 4)).toEqual(names('last', 3));
    expect(link.closed.aborted).toBe(true);
  });

  it('ends for the listener when the dialling side closes', async () => {
    const { servedLinks } = await start();
    const link = await current.dial();
    link.close();
    expect(await readGrants(servedLinks[0]!, 1)).toEqual([]);
    expect([link.closed.aborted, servedLinks[0]!.closed.aborted]).toEqual([true, true]);
  });

  it('ends links when the listener closes', async () => {
    await start();
    const link = await current.dial();
    await current.listener.close();
    expect(await readGrants(link, 1)).toEqual([]);
  });

  it('ignores what is sent after the end', async () => {
    const { servedLinks } = await start();
    const link = await current.dial();
    link.close();
    sendGrants(link, 'late', 1);
    expect(await readGrants(servedLinks[0]!, 1)).toEqual([]);
  });

  it.each([
    ['cluster', { cluster: 'other' }],
    ['protocol', { protocol: 2 }],
  ])('rejects another %s', async (_field, changes) => {
    await start();
    const hello = NetworkCase.hello('near', changes);
    const dialled = await current.near.dial(current.listener.address, hello);
    const { kind, reason } = errorOf(dialled);
    expect(`${kind}: ${reason}`).toMatch(/^broken: wrong (cluster|protocol version): this is/);
    expect(current.servedLinks).toEqual([]);
  });

  it('fails as unreachable when nobody listens', async () => {
    await start();
    const { address } = current.listener;
    await current.listener.close();
    const dialled = await current.near.dial(address, NetworkCase.hello('near'));
    const called = await current.near.claim(address, create(ClaimRequestSchema));
    const errors = [errorOf(dialled), errorOf(called)];
    expect(errors.map(({ kind }) => kind)).toEqual(['unreachable', 'unreachable']);
  });

  it('answers calls while a link is open', async () => {
    await start();
    await current.dial();
    const { address } = current.listener;
    const claimed = await current.near.claim(address, create(ClaimRequestSchema, { job: 'held' }));
    const seen = await current.near.inspect(address, create(InspectRequestSchema));
    expect([valueOf(claimed).held, valueOf(seen).instance]).toEqual([true, 'far']);
  });

  it('carries large bodies', async () => {
    const sizes: number[] = [];
    const forward: PeerHandlers['forward'] = async ({ submission }) => {
      sizes.push(submission!.inputs[0]!.length);
      const results = [{ output: new Uint8Array(BODY_BYTES) }];
      return create(ForwardResponseSchema, { result: { case: 'answer', value: { results } } });
    };
    await start({ forward });
    const submission = { inputs: [new Uint8Array(BODY_BYTES)] };
    const req = create(ForwardRequestSchema, { submission });
    const done = await current.near.forward(
      current.listener.address,
      req,
      new AbortController().signal,
    );
    const { result } = valueOf(done);
    if (result.case === 'answer') sizes.push(result.value.results[0]!.output.length);
    expect(sizes).toEqual([BODY_BYTES, BODY_BYTES]);
  });

  it('fails as broken when the caller gives up a call that has arrived', async () => {
    const stop = new AbortController();
    const forward = () => {
      stop.abort();
      return never();
    };
    await start({ forward });
    const req = create(ForwardRequestSchema);
    const done = await current.near.forward(current.listener.address, req, stop.signal);
    expect(errorOf(done).kind).toBe('broken');
  });

  it('fails as broken when the handler throws', async () => {
    await start({ claim: () => Promise.reject(new Error('fault')) });
    const done = await current.near.claim(current.listener.address, create(ClaimRequestSchema));
    expect(errorOf(done).kind).toBe('broken');
  });

  it('fails as unreachable when the caller gave up before the call', async () => {
    await start();
    const req = create(ForwardRequestSchema);
    const { address } = current.listener;
    const done = await current.near.forward(address, req, AbortSignal.abort());
    expect(errorOf(done).kind).toBe('unreachable');
  });

  it('opens a new link after the previous one has ended', async () => {
    const { servedLinks } = await start();
    (await current.dial()).close();
    const link = await current.dial();
    sendGrants(link, 'again', 1);
    expect(await readGrants(servedLinks[1]!, 1)).toEqual(names('again', 1));
  });
});

function grantOf(service: string): PeerMessage {
  return { case: 'grant', value: create(GrantSchema, { service }) };
}

function names(prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index}`);
}

function sendGrants(link: Link, prefix: string, count: number): void {
  names(prefix, count).forEach((name) => link.send(grantOf(name)));
}

/** The services of the next grants; fewer if the link ends before. */
async function readGrants(link: Link, count: number): Promise<string[]> {
  const services: string[] = [];
  for await (const message of link.messages()) {
    if (message.case === 'grant') services.push(message.value.service);
    if (services.length === count) break;
  }
  return services;
}
