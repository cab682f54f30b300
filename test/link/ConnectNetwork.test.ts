import { create } from '@bufbuild/protobuf';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  ClaimRequestSchema,
  ClaimResponseSchema,
  GrantSchema,
} from '../../src/gen/magnoliakeel/v1/peer_pb';
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
    far = await NetworkCase.start(NetworkCase.kinds.connect!, {
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

  it('uses one connection for links and calls', async () => {
    await Promise.all([call(), dial(), call(), dial()]);
    expect(proxy.connections).toBe(1);
  });

  it('connects anew after a break', async () => {
    const link = valueOf(await dial());
    proxy.break();
    for await (const message of link.messages()) expect(message).toBeUndefined();
    expect((await call()).isOk()).toBe(true);
  });

  it('says broken when the connection breaks under a call', async () => {
    const arrived = hangClaims();
    const pending = call();
    await arrived;
    proxy.break();
    expect(errorOf(await pending).kind).toBe('broken');
  });

  it('gives up a dial that gets no hello', async () => {
    await call();
    proxy.freeze();
    const pending = dial();
    await timer.advance(5000);
    expect(errorOf(await pending).kind).toBe('broken');
  });

  it('ends a link whose queue overflows', async () => {
    const link = valueOf(await dial());
    const credits = [{ slot: 1 }];
    const service = 'x'.repeat(MIB);
    const value = create(GrantSchema, { service, credits });
    for (let sent = 0; sent < 65; sent += 1) link.send({ case: 'grant', value });
    for await (const message of link.messages()) expect(message).toBeUndefined();
    expect(link.closed.aborted).toBe(true);
  });

  it('leaves no open connection', async () => {
    await dial();
    await call();
    near.close();
    await far.listener.close();
    await expect(proxy.idle()).resolves.toBeUndefined();
  });
});
