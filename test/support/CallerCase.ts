import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { create, type MessageInitShape } from '@bufbuild/protobuf';
import { request } from 'undici';
import { onTestFinished } from 'vitest';
import CallerServer from '../../src/callers/CallerServer';
import Random from '../../src/core/Random';
import SystemTimer from '../../src/core/SystemTimer';
import {
  type Answer,
  AnswerSchema,
  Outcome,
  type Submission,
} from '../../src/gen/magnoliakeel/v1/peer_pb';
import type TlsCredentials from '../../src/link/TlsCredentials';
import type EntrySettings from '../../src/settings/EntrySettings';
import loadManifest from '../../src/settings/loadManifest';
import type Manifest from '../../src/settings/Manifest';
import valueOf from './valueOf';

type Init = MessageInitShape<typeof AnswerSchema>;
type Method = 'GET' | 'PUT' | 'POST' | 'DELETE' | 'PATCH';

interface Options {
  readonly method?: Method;
  readonly headers?: Record<string, string>;
  readonly body?: string | Buffer;
}

const MANIFEST = `
services:
  - { name: booking, maxTasks: 3, maxTaskBytes: 64, jobTimeoutMs: 60000 }
  - { name: availability, idempotent: true }
teams:
  - { name: web }
`;

const LIMITS: EntrySettings['limits'] = {
  bodyBytes: 2048,
  openBodyBytes: 2_000_000,
  headerBytes: 1024,
  bodyTimeoutMs: 100,
  headerTimeoutMs: 100,
  connections: 10,
  recordBytes: 1,
};

/** The callers' interface over real HTTP on a free port, with an entry behind it that a test plays. */
export default class CallerCase {
  /** A job that a test may submit: `PUT` with one task, if nothing else is said. */
  static readonly JOB = '/v1/services/booking/jobs/0192d0c8-0000-7000-8000-000000000000';

  readonly submissions: Submission[] = [];

  readonly faults: unknown[] = [];

  manifest: Manifest | undefined = valueOf(loadManifest(MANIFEST, 'manifest'));

  isLeaving = false;

  /** How the entry answers. */
  submit: (submission: Submission, gone: AbortSignal) => Promise<Answer> = async () =>
    CallerCase.answer({ outcome: Outcome.PENDING, size: 1 });

  readonly server: CallerServer;

  address = '';

  private constructor(limits: Partial<EntrySettings['limits']>, tls?: TlsCredentials) {
    this.server = CallerServer.create({
      tls,
      limits: { ...LIMITS, ...limits },
      timer: SystemTimer.create(),
      random: Random.fromSeed(1),
      manifest: () => this.manifest,
      version: () => 3n,
      reached: async (version) => version <= 3n,
      isLeaving: () => this.isLeaving,
      submit: ({ submission }, gone) => {
        this.submissions.push(submission);
        return this.submit(submission, gone);
      },
      failed: (error) => this.faults.push(error),
    });
  }

  /** Starts listening, until the test is over. */
  static async start(
    limits: Partial<EntrySettings['limits']> = {},
    tls?: TlsCredentials,
  ): Promise<CallerCase> {
    const made = new CallerCase(limits, tls);
    made.address = valueOf(await made.server.listen('127.0.0.1:0'));
    onTestFinished(() => made.server.close(0));
    return made;
  }

  /** An answer of the entry. */
  static answer(init: Init): Answer {
    return create(AnswerSchema, init);
  }

  /** A job's body with these inputs. */
  static tasks(...inputs: unknown[]): string {
    return JSON.stringify({ tasks: inputs.map((input) => ({ input })) });
  }

  /** Sends a request; the status, the headers that count and the body of its response. */
  async send(path = CallerCase.JOB, options: Options = {}): Promise<string> {
    const { method = 'PUT', headers = {} } = options;
    const body = options.body ?? (method === 'PUT' ? CallerCase.tasks(1) : null);
    const res = await request(`http://${this.address}${path}`, { method, headers, body });
    return describe(res.statusCode, res.headers, await res.body.text());
  }

  /** Opens a connection and writes this text as it is. */
  async open(text: string): Promise<Socket> {
    const { port } = new URL(`http://${this.address}`);
    const socket = connect(Number(port), '127.0.0.1');
    await once(socket, 'connect');
    socket.on('error', () => socket.destroy());
    socket.write(text);
    return socket;
  }

  /** Writes this text as it is and returns all that comes back until the connection ends. */
  async raw(text: string): Promise<string> {
    return CallerCase.drain(await this.open(text));
  }

  /** All that a connection still brings. */
  static async drain(socket: Socket): Promise<string> {
    let received = '';
    socket.on('data', (chunk) => {
      received += chunk;
    });
    await once(socket, 'close');
    return received.replace(/Date: .*\r\n/, '').replaceAll('\r\n', '\n');
  }
}

const SHOWN = ['content-length', 'magnoliakeel-count', 'retry-after', 'connection', 'allow'];

function describe(
  status: number,
  headers: Readonly<Record<string, unknown>>,
  body: string,
): string {
  const shown = SHOWN.filter(
    (name) => headers[name] !== undefined && headers[name] !== 'keep-alive',
  );
  const pairs = shown.map((name) => `${name}=${headers[name]}`);
  return [`${status} ${headers['magnoliakeel-outcome']}`, ...pairs, body].join('\n');
}
