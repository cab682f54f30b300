import { readFile } from 'node:fs/promises';
import { createSecureContext } from 'node:tls';
import { err, ok, type Result } from 'neverthrow';
import type Subscription from '../core/Subscription';
import type TimerService from '../core/TimerService';
import type TlsFiles from './TlsFiles';

/** Contents of the PEM files. */
interface PemContents {
  readonly cert: Buffer;
  readonly key: Buffer;
  readonly ca: Buffer;
}

/** The certificate of a process and the authority that it trusts; reloaded when the files change. */
export default class TlsCredentials {
  private readonly handlers = new Set<(contents: PemContents) => void>();

  private constructor(
    private readonly files: TlsFiles,
    private contents: PemContents,
  ) {}

  /** Reads the files. The error says which file cannot be read, or why the key does not match the certificate. */
  static async load(files: TlsFiles): Promise<Result<TlsCredentials, string>> {
    return (await readFiles(files)).map((contents) => new TlsCredentials(files, contents));
  }

  /** The credentials for new connections. */
  get current(): PemContents {
    return this.contents;
  }

  /** Calls the handler with the new credentials after each change. */
  subscribe(handler: (contents: PemContents) => void): void {
    this.handlers.add(handler);
  }

  /**
   * Checks the files every few seconds. Changed credentials are used for new connections as soon as they are
   * valid together. `onReload` is called with undefined after each change, and once with each new problem.
   */
  watch(timer: TimerService, onReload: (problem: string | undefined) => void): Subscription {
    let lastProblem: string | undefined;
    return timer.every(CHECK_INTERVAL_MS, () => {
      readFiles(this.files).then((loaded) => {
        const problem = loaded.isErr() ? loaded.error : undefined;
        const isChanged = loaded.isOk() && !areEqual(loaded.value, this.contents);
        if (isChanged) this.adopt(loaded.value);
        if (isChanged || (problem !== undefined && problem !== lastProblem)) onReload(problem);
        lastProblem = problem;
      });
    });
  }

  private adopt(contents: PemContents): void {
    this.contents = contents;
    this.handlers.forEach((handler) => handler(contents));
  }
}

const CHECK_INTERVAL_MS = 5000;

async function readFiles({ cert, key, ca }: TlsFiles): Promise<Result<PemContents, string>> {
  try {
    const [certText, keyText, caText] = await Promise.all(
      [cert, key, ca].map((file) => readFile(file)),
    );
    const contents = { cert: certText!, key: keyText!, ca: caText! };
    createSecureContext(contents);
    return ok(contents);
  } catch (error) {
    return err((error as Error).message);
  }
}

function areEqual(one: PemContents, other: PemContents): boolean {
  return one.cert.equals(other.cert) && one.key.equals(other.key) && one.ca.equals(other.ca);
}
