import { readFile } from 'node:fs/promises';
import { createSecureContext } from 'node:tls';
import { err, ok, type Result } from 'neverthrow';
import type Subscription from '../core/Subscription';
import type TimerService from '../core/TimerService';
import type TlsFiles from './TlsFiles';

/** The contents of the files. */
interface Contents {
  readonly cert: Buffer;
  readonly key: Buffer;
  readonly ca: Buffer;
}

/** The certificate of a process and the authority it trusts, read again while the process runs. */
export default class TlsCredentials {
  private readonly handlers = new Set<(contents: Contents) => void>();

  private constructor(
    private readonly files: TlsFiles,
    private contents: Contents,
  ) {}

  /** Reads the files; the error says which can't be read or what does not fit. */
  static async load(files: TlsFiles): Promise<Result<TlsCredentials, string>> {
    return (await read(files)).map((contents) => new TlsCredentials(files, contents));
  }

  /** What new connections are to use. */
  get current(): Contents {
    return this.contents;
  }

  /** Calls the handler with each later contents of the files. */
  subscribe(handler: (contents: Contents) => void): void {
    this.handlers.add(handler);
  }

  /**
   * Looks at the files every few seconds. Changed ones are used for new connections once they fit
   * together; `told` hears of each change, and once of files that can't be used.
   */
  watch(timer: TimerService, told: (problem: string | undefined) => void): Subscription {
    let lastProblem: string | undefined;
    return timer.every(CHECK_MS, () => {
      read(this.files).then((found) => {
        const problem = found.isErr() ? found.error : undefined;
        const isChanged = found.isOk() && !isSame(found.value, this.contents);
        if (isChanged) this.adopt(found.value);
        if (isChanged || (problem !== undefined && problem !== lastProblem)) told(problem);
        lastProblem = problem;
      });
    });
  }

  private adopt(contents: Contents): void {
    this.contents = contents;
    this.handlers.forEach((handler) => handler(contents));
  }
}

const CHECK_MS = 5000;

async function read({ cert, key, ca }: TlsFiles): Promise<Result<Contents, string>> {
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

function isSame(one: Contents, other: Contents): boolean {
  return one.cert.equals(other.cert) && one.key.equals(other.key) && one.ca.equals(other.ca);
}
