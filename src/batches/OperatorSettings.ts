import Versioned from '../core/Versioned';
import type EventLog from '../observe/EventLog';
import DrainedZones from '../peering/DrainedZones';
import QueueTable from './QueueTable';

/** What operators have set, in the newest version that this entry has heard of; never an older one again. */
export default class OperatorSettings {
  private readonly tables = Versioned.of(QueueTable.none, ({ version }) => BigInt(version));

  private readonly drained = Versioned.of(DrainedZones.none, ({ revision }) => revision);

  private constructor(private readonly log: EventLog) {}

  /** Creates one in which nothing is set. */
  static create(log: EventLog): OperatorSettings {
    return new OperatorSettings(log);
  }

  /** The configuration. */
  get table(): QueueTable {
    return this.tables.current;
  }

  /** The availability zones in which nothing is started. */
  get drainedZones(): DrainedZones {
    return this.drained.current;
  }

  /** Takes a configuration; false when it is not newer. */
  configure(table: QueueTable, source: string): boolean {
    if (!this.tables.adopt(table)) return false;
    const { version, size } = table;
    this.log.info('a configuration is in force', { version, queues: size, source });
    return true;
  }

  /** Takes a word on drained zones; false when others need not hear of it. */
  drainZones(word: DrainedZones, source: string): boolean {
    const before = this.drainedZones;
    if (!this.drained.adopt(word) || word.hasSameZones(before)) return false;
    const { revision, zones } = word;
    const were = before.zones;
    this.log.info('the drained availability zones have changed', {
      revision: Number(revision),
      zones,
      were,
      source,
    });
    return true;
  }
}
