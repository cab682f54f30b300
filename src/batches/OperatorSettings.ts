import Versioned from '../core/Versioned';
import type EventLog from '../observe/EventLog';
import DrainedZones from '../peering/DrainedZones';
import QueueTable from './QueueTable';

/**
 * The operators' settings in the newest version that this entry knows; never replaced by an older
 * one.
 */
export default class OperatorSettings {
  private readonly tables = Versioned.of(QueueTable.none, ({ version }) => BigInt(version));

  private readonly drained = Versioned.of(DrainedZones.none, ({ revision }) => revision);

  private constructor(private readonly log: EventLog) {}

  /** Creates an instance without settings. */
  static create(log: EventLog): OperatorSettings {
    return new OperatorSettings(log);
  }

  /** The active configuration. */
  get table(): QueueTable {
    return this.tables.current;
  }

  /** The availability zones in which nothing is started. */
  get drainedZones(): DrainedZones {
    return this.drained.current;
  }

  /** Applies a configuration; false if it is not newer. */
  configure(table: QueueTable, source: string): boolean {
    if (!this.tables.adopt(table)) return false;
    const { version, size } = table;
    this.log.info('a configuration is in force', { version, queues: size, source });
    return true;
  }

  /** Applies an update of the drained zones; false if there is nothing to forward. */
  drainZones(update: DrainedZones, source: string): boolean {
    const before = this.drainedZones;
    if (!this.drained.adopt(update) || update.hasSameZones(before)) return false;
    const { revision, zones } = update;
    const previous = before.zones;
    this.log.info('the drained availability zones have changed', {
      revision: Number(revision),
      zones,
      were: previous,
      source,
    });
    return true;
  }
}
