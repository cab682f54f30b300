import type { ServiceLoad } from '../gen/magnoliakeel/v1/peer_pb';

/** The idle credits and queue lengths that the other entries last reported. */
export default class EntryLoads {
  private readonly byEntry = new Map<string, Map<string, ServiceLoad>>();

  private constructor() {}

  /** Creates an empty table. */
  static create(): EntryLoads {
    return new EntryLoads();
  }

  /** Replaces the loads of an entry. */
  update(entry: string, loads: readonly ServiceLoad[]): void {
    this.byEntry.set(entry, new Map(loads.map((load) => [load.service, load])));
  }

  /** Corrects the number of idle credits that an entry is assumed to have for a service. */
  setIdle(entry: string, service: string, idle: number): void {
    const load = this.byEntry.get(entry)?.get(service);
    if (load) load.idle = idle;
  }

  /** Removes an entry. */
  remove(entry: string): void {
    this.byEntry.delete(entry);
  }

  /** The entries that have reported loads. */
  entries(): string[] {
    return [...this.byEntry.keys()];
  }

  /** The entry with the most idle credits for a service, as far as known; undefined if none has any. */
  mostIdle(service: string): string | undefined {
    let best: string | undefined;
    let bestIdle = 0;
    this.byEntry.forEach((loads, entry) => {
      const idle = loads.get(service)?.idle ?? 0;
      if (idle > bestIdle) {
        best = entry;
        bestIdle = idle;
      }
    });
    return best;
  }

  /** Number of running tasks of a team that were started by other entries. */
  runningCount(service: string, team: string): number {
    let running = 0;
    this.byEntry.forEach((loads) => {
      const teams = loads.get(service)?.teams ?? [];
      running += teams.find((load) => load.team === team)?.running ?? 0;
    });
    return running;
  }
}
