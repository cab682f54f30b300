import { request } from 'undici';
import type Cluster from '../harness/Cluster';
import type Applied from './Applied';
import type InForceLog from './InForceLog';
import type Operator from './Operator';

/** What the phases of a measurement work on. */
export default class Bench {
  readonly applied: Applied[] = [];

  private constructor(
    readonly cluster: Cluster,
    readonly log: InForceLog,
    readonly operators: readonly Operator[],
    readonly sidecars: readonly string[],
  ) {}

  static of(
    cluster: Cluster,
    log: InForceLog,
    operators: readonly Operator[],
    sidecars: readonly string[],
  ): Bench {
    return new Bench(cluster, log, operators, sidecars);
  }

  /** Has an operator apply some changes, one after the other. */
  async apply(phase: string, count: number, operator = 0): Promise<void> {
    for (let made = 0; made < count; made += 1) {
      this.applied.push(await this.operators[operator]!.apply(phase));
    }
  }

  /** Sets the store's faults, for everybody or for one process. */
  async setFaults(faults: object): Promise<void> {
    const { body } = await request(`http://${this.cluster.platform}/v1/faults`, {
      method: 'PUT',
      body: JSON.stringify(faults),
    });
    await body.dump();
  }

  /** Calls to the store so far, by process and kind. */
  async calls(): Promise<Record<string, Record<string, number>>> {
    const { body } = await request(`http://${this.cluster.platform}/v1/calls`);
    return (await body.json()) as Record<string, Record<string, number>>;
  }
}
