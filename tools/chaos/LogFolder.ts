import { createWriteStream, mkdirSync, type WriteStream } from 'node:fs';
import path from 'node:path';

/** Writes what each process prints to a file of its own, with the time; does nothing without a folder. */
export default class LogFolder {
  private readonly files = new Map<string, WriteStream>();

  private constructor(private readonly folder: string | undefined) {}

  /** Creates the folder if there is to be one. */
  static at(folder: string | undefined): LogFolder {
    if (folder !== undefined) mkdirSync(folder, { recursive: true });
    return new LogFolder(folder);
  }

  /** Adds a line to the file of a process. */
  add(name: string, line: string): void {
    if (this.folder === undefined) return;
    const file = this.files.get(name) ?? createWriteStream(path.join(this.folder, `${name}.log`));
    this.files.set(name, file);
    file.write(`${Math.round(performance.now())} ${line}\n`);
  }
}
