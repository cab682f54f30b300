import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { isIP, type AddressInfo } from 'node:net';
import { Ajv } from 'ajv';
import { err, ok, type Result } from 'neverthrow';
import openServer from '../core/openServer';
import type Announcement from './Announcement';
import announcementSchema from './announcementSchema';

const MAX_BODY_BYTES = 65_536;
const validate = new Ajv({ allErrors: true }).compile<Announcement>(announcementSchema);

interface AnnouncementServerOptions {
  /**
   * Accepts or renews an announcement. Returns the renewal interval in
   * milliseconds, or undefined while the sidecar is shutting down.
   */
  readonly onAnnounce: (backend: Announcement) => number | undefined;
  /** Withdraws the announcement. */
  readonly onWithdraw: () => void;
}

interface Answer {
  readonly status: number;
  readonly body: unknown;
}

type Handler = (req: IncomingMessage) => Answer | Promise<Answer>;

/**
 * The HTTP server to which a backend server announces itself: `PUT /v1/backend`
 * announces or renews, `DELETE /v1/backend` withdraws the announcement.
 */
export default class AnnouncementServer {
  private readonly server: Server;

  private readonly handlers: Readonly<Record<string, Handler>> = {
    PUT: (req) => this.handlePut(req),
    DELETE: () => this.handleDelete(),
  };

  private constructor(private readonly opts: AnnouncementServerOptions) {
    this.server = createServer((req, res) => {
      this.serve(req, res).catch(() => res.destroy());
    });
  }

  /** Creates a server that does not listen yet. */
  static create(opts: AnnouncementServerOptions): AnnouncementServer {
    return new AnnouncementServer(opts);
  }

  /** Listens on "ip:port" and returns the bound address. Rejects when the address cannot be bound. */
  async listen(address: string): Promise<string> {
    const { host, port } = parseAddress(address);
    // Accept errors are ignored: the backend server repeats its announcement.
    await openServer(this.server, { host, port }, () => undefined);
    return `${host}:${(this.server.address() as AddressInfo).port}`;
  }

  /** Stops listening and closes all connections. */
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
    if (req.url !== '/v1/backend') return errorAnswer(404, ['there is only /v1/backend']);
    const handler = this.handlers[req.method ?? ''];
    if (!handler) return errorAnswer(405, ['use PUT to announce or renew, DELETE to leave']);
    return handler(req);
  }

  private async handlePut(req: IncomingMessage): Promise<Answer> {
    const announcement = parseAnnouncement(await readRequestText(req));
    if (announcement.isErr()) return errorAnswer(400, announcement.error);
    const renewMs = this.opts.onAnnounce(announcement.value);
    if (renewMs === undefined) return errorAnswer(503, ['the sidecar is leaving']);
    return { status: 200, body: { renewMs } };
  }

  private handleDelete(): Answer {
    this.opts.onWithdraw();
    return { status: 200, body: {} };
  }
}

function errorAnswer(status: number, errors: readonly string[]): Answer {
  return { status, body: { errors } };
}

async function readRequestText(req: IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of req as AsyncIterable<Buffer>) {
    bytes += chunk.byteLength;
    if (bytes <= MAX_BODY_BYTES) chunks.push(chunk);
  }
  return bytes > MAX_BODY_BYTES ? undefined : Buffer.concat(chunks).toString('utf8');
}

function parseAnnouncement(text: string | undefined): Result<Announcement, readonly string[]> {
  if (text === undefined) return err([`the body exceeds ${MAX_BODY_BYTES} bytes`]);
  const value = parseJson(text);
  if (!validate(value)) return err((validate.errors ?? []).map(formatError));
  const errors = semanticErrors(value);
  return errors.length > 0 ? err(errors) : ok(value);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function formatError(error: { instancePath: string; message?: string }): string {
  const field = error.instancePath.slice(1).replaceAll('/', '.') || 'body';
  return `${field}: ${error.message ?? 'is not valid'}`;
}

function semanticErrors(value: Announcement): string[] {
  const { host, port } = parseAddress(value.address);
  const errors: string[] = [];
  if (!isIP(host) || !(port > 0 && port < 65_536)) errors.push('address: must be "ip:port"');
  if (value.connections < value.slots) errors.push('connections: must be at least slots');
  return errors;
}

function parseAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  const port = address.slice(colon + 1);
  return {
    host: address.slice(0, Math.max(0, colon)).replace(/^\[(.*)\]$/, '$1'),
    port: /^\d{1,5}$/.test(port) ? Number(port) : Number.NaN,
  };
}
