import { request } from 'undici';

/**
 * Reports each start to a process that outlives this backend server. The task
 * begins only once the report was taken, so a start never goes unnoticed.
 */
export default class StartRecorder {
  private constructor(
    private readonly address: string,
    private readonly backend: string,
  ) {}

  /** Creates a recorder for one backend server that reports to "ip:port". */
  static to(address: string, backend: string): StartRecorder {
    return new StartRecorder(address, backend);
  }

  /** Reports the start of a task, with the output that it will give. */
  async record(task: string, output: unknown): Promise<void> {
    const { body } = await request(`http://${this.address}/starts`, {
      method: 'POST',
      body: JSON.stringify({ backend: this.backend, task, output }),
    });
    await body.dump();
  }
}
