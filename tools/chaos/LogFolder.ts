import { createWriteStream, mkdirSync, type WriteStream } from 'node:fs';
import path from 'node:path';

/** Writes the output of each process to its own file, with timestamps; does nothing without a folder. */
export default class LogFolder {
  private readonly files = new Map<string, WriteStream>();

  private constructor(private readonly folder: string | undefined) {}

  /** Creates a log folder, and the directory itself if a path is given. */
  static at(folder: string | undefined): LogFolder {
    if (folder !== undefined) mkdirSync(folder, { recursive: true });
    return new LogFolder(folder);
  }

  /** Appends a line to the file of a process. */
  add(name: string, line: string): void {
    if (this.folder === undefined) return;
    const file = this.files.get(name) ?? createWriteStream(path.join(this.folder, `${name}.log`));
    this.files.set(name, file);
    file.write(`${Math.round(performance.now())} ${line}\n`);
  }
}
