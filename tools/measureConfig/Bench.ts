import { request } from 'undici';
import type Cluster from '../harness/Cluster';
import type AppliedChange from './AppliedChange';
import type ConfigurationLog from './ConfigurationLog';
import type Operator from './Operator';

/** Context shared by the phases of a measurement: the cluster, its operators and the changes applied so far. */
export default class Bench {
  readonly applied: AppliedChange[] = [];

  private constructor(
    readonly cluster: Cluster,
    readonly log: ConfigurationLog,
    readonly operators: readonly Operator[],
    readonly sidecars: readonly string[],
  ) {}

  /** Creates a bench without applied changes. */
  static of(
    cluster: Cluster,
    log: ConfigurationLog,
    operators: readonly Operator[],
    sidecars: readonly string[],
  ): Bench {
    return new Bench(cluster, log, operators, sidecars);
  }

  /** Lets an operator, given by its index, apply a number of changes one after the other. */
  async apply(phase: string, count: number, operator = 0): Promise<void> {
    for (let done = 0; done < count; done += 1) {
      this.applied.push(await this.operators[operator]!.apply(phase));
    }
  }

  /** Sets the faults of the store, for all of its clients or for one process. */
  async setFaults(faults: object): Promise<void> {
    const { body } = await request(`http://${this.cluster.platform}/v1/faults`, {
      method: 'PUT',
      body: JSON.stringify(faults),
    });
    await body.dump();
  }

  /** Number of calls to the store so far, by process and kind. */
  async storeCalls(): Promise<Record<string, Record<string, number>>> {
    const { body } = await request(`http://${this.cluster.platform}/v1/calls`);
    return (await body.json()) as Record<string, Record<string, number>>;
  }
}
