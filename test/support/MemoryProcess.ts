/** One run of a process on the memory network. */
export default class MemoryProcess {
  alive = true;

  paused = false;

  private constructor(readonly instance: string) {}

  /** A process that runs. */
  static start(instance: string): MemoryProcess {
    return new MemoryProcess(instance);
  }
}
