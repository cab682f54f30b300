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

/** A caller server on a free port, reached over real HTTP, with a fake entry that the test controls. */
export default class CallerCase {
  /** Path of a job; by default `send` submits it with `PUT` and one task. */
  static readonly JOB_PATH = '/v1/services/booking/jobs/0192d0c8-0000-7000-8000-000000000000';

  readonly submissions: Submission[] = [];

  readonly faults: unknown[] = [];

  manifest: Manifest | undefined = valueOf(loadManifest(MANIFEST, 'manifest'));

  isLeaving = false;

  /** How the fake entry answers; tests may replace it. */
  submit: (submission: Submission, callerGone: AbortSignal) => Promise<Answer> = async () =>
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
      configurationVersion: () => 3n,
      waitForVersion: async (version) => version <= 3n,
      isLeaving: () => this.isLeaving,
      submit: ({ submission }, callerGone) => {
        this.submissions.push(submission);
        return this.submit(submission, callerGone);
      },
      onError: (error) => this.faults.push(error),
    });
  }

  /** Starts a server that listens until the test ends. */
  static async start(
    limits: Partial<EntrySettings['limits']> = {},
    tls?: TlsCredentials,
  ): Promise<CallerCase> {
    const callerCase = new CallerCase(limits, tls);
    callerCase.address = valueOf(await callerCase.server.listen('127.0.0.1:0'));
    onTestFinished(() => callerCase.server.close(0));
    return callerCase;
  }

  /** Creates an answer of the entry. */
  static answer(init: Init): Answer {
    return create(AnswerSchema, init);
  }

  /** Body of a job whose tasks have these inputs. */
  static jobBody(...inputs: unknown[]): string {
    return JSON.stringify({ tasks: inputs.map((input) => ({ input })) });
  }

  /** Sends a request; returns status, selected headers and body of the response as text. */
  async send(path = CallerCase.JOB_PATH, options: Options = {}): Promise<string> {
    const { method = 'PUT', headers = {} } = options;
    const body = options.body ?? (method === 'PUT' ? CallerCase.jobBody(1) : null);
    const res = await request(`http://${this.address}${path}`, { method, headers, body });
    return formatResponse(res.statusCode, res.headers, await res.body.text());
  }

  /** Opens a connection and writes the text unchanged. */
  async openSocket(text: string): Promise<Socket> {
    const { port } = new URL(`http://${this.address}`);
    const socket = connect(Number(port), '127.0.0.1');
    await once(socket, 'connect');
    socket.on('error', () => socket.destroy());
    socket.write(text);
    return socket;
  }

  /** Writes the text to a new connection and returns everything received until it closes. */
  async sendRaw(text: string): Promise<string> {
    return CallerCase.readUntilClose(await this.openSocket(text));
  }

  /** Everything received on a connection until it closes, without the `Date` header. */
  static async readUntilClose(socket: Socket): Promise<string> {
    let received = '';
    socket.on('data', (chunk) => {
      received += chunk;
    });
    await once(socket, 'close');
    return received.replace(/Date: .*\r\n/, '').replaceAll('\r\n', '\n');
  }
}

const SHOWN_HEADERS = [
  'content-length',
  'magnoliakeel-count',
  'retry-after',
  'connection',
  'allow',
];

function formatResponse(
  status: number,
  headers: Readonly<Record<string, unknown>>,
  body: string,
): string {
  const shown = SHOWN_HEADERS.filter(
    (name) => headers[name] !== undefined && headers[name] !== 'keep-alive',
  );
  const pairs = shown.map((name) => `${name}=${headers[name]}`);
  return [`${status} ${headers['magnoliakeel-outcome']}`, ...pairs, body].join('\n');
}
