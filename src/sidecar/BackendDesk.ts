import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { isIP, type AddressInfo } from 'node:net';
import { Ajv } from 'ajv';
import { err, ok, type Result } from 'neverthrow';
import openServer from '../core/openServer';
import type Announcement from './Announcement';
import announcementSchema from './announcementSchema';

const MAX_BODY_BYTES = 65_536;
const validate = new Ajv({ allErrors: true }).compile<Announcement>(announcementSchema);

interface BackendDeskOptions {
  /** Takes or renews an announcement and returns the milliseconds to the next renewal; undefined when it takes none. */
  readonly announce: (backend: Announcement) => number | undefined;
  /** Ends the announcement. */
  readonly withdraw: () => void;
}

interface Answer {
  readonly status: number;
  readonly body: unknown;
}

type Handler = (req: IncomingMessage) => Answer | Promise<Answer>;

/**
 * The HTTP address where a backend server announces itself to its sidecar:
 * `PUT /v1/backend` announces and renews, `DELETE /v1/backend` leaves.
 */
export default class BackendDesk {
  private readonly server: Server;

  private readonly handlers: Readonly<Record<string, Handler>> = {
    PUT: (req) => this.put(req),
    DELETE: () => this.remove(),
  };

  private constructor(private readonly opts: BackendDeskOptions) {
    this.server = createServer((req, res) => {
      this.serve(req, res).catch(() => res.destroy());
    });
  }

  /** Creates a desk that does not listen yet. */
  static create(opts: BackendDeskOptions): BackendDesk {
    return new BackendDesk(opts);
  }

  /** Listens at "ip:port" and returns the address in use. Rejects when the address cannot be had. */
  async listen(address: string): Promise<string> {
    const { host, port } = split(address);
    // A backend server whose connection could not be accepted announces itself again.
    await openServer(this.server, { host, port }, () => undefined);
    return `${host}:${(this.server.address() as AddressInfo).port}`;
  }

  /** Stops listening and ends all connections. */
  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
    this.server.closeAllConnections();
    await closed;
  }

  private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { status, body } = await this.answer(req);
    const text = JSON.stringify(body);
    res.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    res.end(text);
  }

  private async answer(req: IncomingMessage): Promise<Answer> {
    if (req.url !== '/v1/backend') return failure(404, ['there is only /v1/backend']);
    const handler = this.handlers[req.method ?? ''];
    if (!handler) return failure(405, ['use PUT to announce or renew, DELETE to leave']);
    return handler(req);
  }

  private async put(req: IncomingMessage): Promise<Answer> {
    const announcement = readAnnouncement(await readText(req));
    if (announcement.isErr()) return failure(400, announcement.error);
    const renewMs = this.opts.announce(announcement.value);
    if (renewMs === undefined) return failure(503, ['the sidecar is leaving']);
    return { status: 200, body: { renewMs } };
  }

  private remove(): Answer {
    this.opts.withdraw();
    return { status: 200, body: {} };
  }
}

function failure(status: number, errors: readonly string[]): Answer {
  return { status, body: { errors } };
}

async function readText(req: IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of req as AsyncIterable<Buffer>) {
    bytes += chunk.byteLength;
    if (bytes <= MAX_BODY_BYTES) chunks.push(chunk);
  }
  return bytes > MAX_BODY_BYTES ? undefined : Buffer.concat(chunks).toString('utf8');
}

function readAnnouncement(text: string | undefined): Result<Announcement, readonly string[]> {
  if (text === undefined) return err([`the body exceeds ${MAX_BODY_BYTES} bytes`]);
  const value = parseJson(text);
  if (!validate(value)) return err((validate.errors ?? []).map(describe));
  const errors = faultsOf(value);
  return errors.length > 0 ? err(errors) : ok(value);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function describe(error: { instancePath: string; message?: string }): string {
  const place = error.instancePath.slice(1).replaceAll('/', '.') || 'body';
  return `${place}: ${error.message ?? 'is not valid'}`;
}

function faultsOf(value: Announcement): string[] {
  const { host, port } = split(value.address);
  const errors: string[] = [];
  if (!isIP(host) || !(port > 0 && port < 65_536)) errors.push('address: must be "ip:port"');
  if (value.connections < value.slots) errors.push('connections: must be at least slots');
  return errors;
}

function split(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  const port = address.slice(colon + 1);
  return {
    host: address.slice(0, Math.max(0, colon)).replace(/^\[(.*)\]$/, '$1'),
    port: /^\d{1,5}$/.test(port) ? Number(port) : Number.NaN,
  };
}
