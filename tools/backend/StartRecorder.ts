import { request } from 'undici';

/**
 * Reports each start to a process that outlives this backend server. A task
 * runs only after its report has been accepted, so no start is missed.
 */
export default class StartRecorder {
  private constructor(
    private readonly address: string,
    private readonly backend: string,
  ) {}

  /** Creates a recorder for a named backend server that reports to the address "ip:port". */
  static to(address: string, backend: string): StartRecorder {
    return new StartRecorder(address, backend);
  }

  /** Reports the start of a task, together with its future output. */
  async record(task: string, output: unknown): Promise<void> {
    const { body } = await request(`http://${this.address}/starts`, {
      method: 'POST',
      body: JSON.stringify({ backend: this.backend, task, output }),
    });
    await body.dump();
  }
}
