import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import Random from '../../src/core/Random';
import SystemTimer from '../../src/core/SystemTimer';
import Checker from '../../tools/soak/Checker';
import type EntryConnection from '../../tools/soak/EntryConnection';
import JobSender from '../../tools/soak/JobSender';
import type SendingWay from '../../tools/soak/SendingWay';
import sendingWays from '../../tools/soak/sendingWays';

const timer = SystemTimer.create();

const job = { id: 'a', body: '{}', tasks: [], deadlineMs: 5_000 };

/** Time to an answer, ms: later than any caller uses another entry. The answer has a state that the checker accepts. */
const ANSWER_MS = 1_000;

let servers: Server[];

let connections: Set<EntryConnection>;

/** The entries that received the job, in order, each with how the request ended there. */
let seen: string[][];

beforeEach(async () => {
  seen = [];
  connections = new Set();
  servers = ['e1', 'e2'].map((entry) =>
    createServer((_req, res) => {
      const events = [entry];
      seen.push(events);
      res.on('close', () => events.push(res.writableFinished ? 'answered' : 'closed'));
      timer.after(ANSWER_MS, () => res.end('{"state":"failed"}'));
    }).listen(0, '127.0.0.1'),
  );
  await Promise.all(servers.map((server) => once(server, 'listening')));
});

afterEach(async () => {
  await Promise.all([...connections].map((connection) => connection.close()));
  servers.forEach((server) => server.close());
});

async function send(way: SendingWay, act?: () => void) {
  const checker = Checker.create(timer);
  const logLine = (): void => undefined;
  const random = Random.fromSeed(1);
  const addressOf = (server: Server) => `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const entries = new Map(servers.map((server, index) => [`e${index + 1}`, addressOf(server)]));
  const sender = JobSender.create({ timer, random, checker, entries, connections, logLine });
  if (act) timer.after(100, act);
  const { status, isReset } = await sendingWays[way](job, { timer, random, sender });
  await vi.waitFor(() => expect(seen.every(({ length }) => length > 1)).toBe(true), 5_000);
  return { status, isReset, seen, findings: checker.findings, open: connections.size };
}

const resetAll = () => connections.forEach((connection) => connection.reset());

test.each(Object.keys(sendingWays) as SendingWay[])('a job sent %s', async (way) => {
  expect(await send(way)).toMatchSnapshot();
});

test.each<SendingWay>(['once', 'at-once'])(
  'a job sent %s when its connection is reset',
  async (way) => {
    expect(await send(way, resetAll)).toMatchSnapshot();
  },
);
