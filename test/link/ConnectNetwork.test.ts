import { create } from '@bufbuild/protobuf';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  ClaimRequestSchema,
  ClaimResponseSchema,
  GrantSchema,
} from '../../src/gen/magnoliakeel/v1/peer_pb';
import type Link from '../../src/link/Link';
import ConnectNetwork from '../../src/link/ConnectNetwork';
import errorOf from '../support/errorOf';
import ManualTimer from '../support/ManualTimer';
import NetworkCase from '../support/NetworkCase';
import never from '../support/never';
import TcpProxy from '../../tools/harness/TcpProxy';
import valueOf from '../support/valueOf';

const MIB = 1024 * 1024;

describe('ConnectNetwork', () => {
  let far: NetworkCase;
  let proxy: TcpProxy;
  let timer: ManualTimer;
  let near: ConnectNetwork;
  let claimed: () => void;
  let hang: boolean;

  beforeEach(async () => {
    hang = false;
    far = await NetworkCase.start(NetworkCase.implementations.connect!, {
      claim: () => (hang ? hangClaim() : Promise.resolve(create(ClaimResponseSchema))),
    });
    proxy = await TcpProxy.to(far.listener.address);
    timer = ManualTimer.create();
    near = ConnectNetwork.create(timer);
  });

  afterEach(async () => {
    near.close();
    proxy.close();
    await far.stop();
  });

  const call = () => near.claim(proxy.address, create(ClaimRequestSchema));
  const dial = () => near.dial(proxy.address, NetworkCase.hello('near'));

  async function waitForEnd(link: Link): Promise<void> {
    for await (const message of link.messages()) expect(message).toBeUndefined();
  }

  function hangClaim(): Promise<never> {
    claimed();
    return never();
  }

  function hangClaims(): Promise<void> {
    hang = true;
    return new Promise((resolve) => {
      claimed = resolve;
    });
  }

  it('uses the same connection for links and calls', async () => {
    await Promise.all([call(), dial(), call(), dial()]);
    expect(proxy.connectionCount).toBe(1);
  });

  it('reconnects after the connection broke', async () => {
    const link = valueOf(await dial());
    proxy.closeConnections();
    for await (const message of link.messages()) expect(message).toBeUndefined();
    expect((await call()).isOk()).toBe(true);
  });

  // Both sides logged "The link to an entry has ended" without the reason: the error that ended the
  // stream was discarded.
  it('records on both sides why a link broke, and no failure if it was closed', async () => {
    const links = [valueOf(await dial()), far.servedLinks[0]!];
    proxy.closeConnections();
    await Promise.all(links.map(waitForEnd));
    const closed = valueOf(await dial());
    closed.close();
    await waitForEnd(closed);
    expect([...links, closed].map(({ failure }) => failure)).toEqual([
      'the connection has ended',
      'Premature close',
      undefined,
    ]);
  });

  it('fails a call as broken when the connection breaks during it', async () => {
    const arrived = hangClaims();
    const pending = call();
    await arrived;
    proxy.closeConnections();
    expect(errorOf(await pending).kind).toBe('broken');
  });

  it('fails a dial that receives no hello in time', async () => {
    await call();
    proxy.freeze();
    const pending = dial();
    await timer.advance(5000);
    expect(errorOf(await pending).kind).toBe('broken');
  });

  it('ends a link whose send queue overflows', async () => {
    const link = valueOf(await dial());
    const credits = [{ slot: 1 }];
    const service = 'x'.repeat(MIB);
    const value = create(GrantSchema, { service, credits });
    for (let sent = 0; sent < 65; sent += 1) link.send({ case: 'grant', value });
    for await (const message of link.messages()) expect(message).toBeUndefined();
    expect(link.closed.aborted).toBe(true);
  });

  // An address in a peer's hello or list of entries may be any string. The dial rejected ("Invalid URL") instead
  // of resolving to an error; callers did not handle the rejection, which ended the process.
  it('returns an error for an invalid address', async () => {
    const addresses = ['', 'a b', '10.0.0.1:99999', '256.0.0.1:4', ':::1'];
    const dials = addresses.map((address) => near.dial(address, NetworkCase.hello('near')));
    const calls = addresses.map((address) => near.claim(address, create(ClaimRequestSchema)));
    const results = [...(await Promise.all(dials)), ...(await Promise.all(calls))];
    const failures = results.map((res) => res.isErr() && res.error.kind);
    expect(failures).toEqual(Array(failures.length).fill('unreachable'));
  });

  it('leaves no connection open after close', async () => {
    await dial();
    await call();
    near.close();
    await far.listener.close();
    await expect(proxy.whenIdle()).resolves.toBeUndefined();
  });
});
