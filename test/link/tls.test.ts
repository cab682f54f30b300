import { copyFile, mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { connect } from 'node:tls';
import { create } from '@bufbuild/protobuf';
import { expect, onTestFinished, test } from 'vitest';
import SystemTimer from '../../src/core/SystemTimer';
import { InspectRequestSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';
import ConnectNetwork from '../../src/link/ConnectNetwork';
import type TlsCredentials from '../../src/link/TlsCredentials';
import credentialsOf from '../support/credentialsOf';
import errorOf from '../support/errorOf';
import ManualTimer from '../support/ManualTimer';
import NetworkCase from '../support/NetworkCase';
import valueOf from '../support/valueOf';

const FIXTURES = path.join(import.meta.dirname, '../fixtures/tls');

/** Far listens with the certificate "one"; near uses the given credentials. */
async function open(near: TlsCredentials | undefined, far?: TlsCredentials): Promise<NetworkCase> {
  const timer = SystemTimer.create();
  const farTls = far ?? (await credentialsOf('one'));
  const network = ConnectNetwork.create(timer, near);
  const opened = await NetworkCase.start(() => ({
    near: network,
    far: ConnectNetwork.create(timer, farTls),
    close: () => network.close(),
  }));
  onTestFinished(() => opened.stop());
  return opened;
}

const call = ({ near, listener }: NetworkCase) =>
  near.inspect(listener.address, create(InspectRequestSchema));

/** The common name in the certificate that a new connection receives. */
function shownBy({ listener }: NetworkCase, tls: TlsCredentials): Promise<string> {
  const [host, port] = listener.address.split(':');
  return new Promise((resolve, reject) => {
    const socket = connect({ ...tls.current, host, port: Number(port), ALPNProtocols: ['h2'] });
    socket.once('error', reject);
    socket.once('secureConnect', () => {
      const { subject } = socket.getPeerCertificate();
      socket.destroy();
      resolve(String(subject.CN));
    });
  });
}

test('processes with certificates of the same authority can connect', async () => {
  const opened = await open(await credentialsOf('two'));
  expect(valueOf(await call(opened)).instance).toBe('far');
  const link = await opened.dial();
  expect(link.peer.instance).toBe('far');
});

test('a process without TLS or with a certificate of another authority is refused', async () => {
  const kinds = [
    errorOf(await call(await open(undefined))),
    errorOf(await call(await open(await credentialsOf('stranger')))),
    errorOf(await call(await open(await credentialsOf('two'), await credentialsOf('stranger')))),
  ].map(({ kind }) => kind);
  expect(kinds).toMatchInlineSnapshot(`
    [
      "broken",
      "broken",
      "unreachable",
    ]
  `);
});

test('a changed certificate is used without a restart, an unusable one is not', async () => {
  const folder = await mkdtemp(path.join(tmpdir(), 'tls-'));
  onTestFinished(() => rm(folder, { recursive: true }));
  const copyFixture = (from: string, to: string) =>
    copyFile(path.join(FIXTURES, from), path.join(folder, to));
  await copyFixture('ca.pem', 'ca.pem');
  await copyFixture('one.pem', 'my.pem');
  await copyFixture('one.key', 'my.key');
  const far = await credentialsOf('my', folder);
  const timer = ManualTimer.create();
  const told: (string | undefined)[] = [];
  const checkFiles = async () => {
    const before = told.length;
    await timer.advance(5000);
    await expect.poll(() => told.length).toBeGreaterThan(before);
  };
  far.watch(timer, (problem) => told.push(problem === undefined ? undefined : 'problem'));
  const near = await credentialsOf('two');
  const opened = await open(near, far);
  const shown = [await shownBy(opened, near)];
  await copyFixture('two.pem', 'my.pem');
  await checkFiles();
  shown.push(await shownBy(opened, near));
  await copyFixture('two.key', 'my.key');
  await checkFiles();
  shown.push(await shownBy(opened, near));
  expect({ shown, told }).toMatchInlineSnapshot(`
    {
      "shown": [
        "one",
        "one",
        "two",
      ],
      "told": [
        "problem",
        undefined,
      ],
    }
  `);
});
