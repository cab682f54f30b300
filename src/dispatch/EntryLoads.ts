import type { ServiceLoad } from '../gen/magnoliakeel/v1/peer_pb';

/** What the other entries last said of their idle credits and queues. */
export default class EntryLoads {
  private readonly byEntry = new Map<string, Map<string, ServiceLoad>>();

  private constructor() {}

  /** Creates a table that knows of no entry. */
  static create(): EntryLoads {
    return new EntryLoads();
  }

  /** Takes the loads of one entry, in place of all it said before. */
  update(entry: string, loads: readonly ServiceLoad[]): void {
    this.byEntry.set(entry, new Map(loads.map((load) => [load.service, load])));
  }

  /** Corrects the idle credits that an entry is thought to have for a service. */
  setIdle(entry: string, service: string, idle: number): void {
    const load = this.byEntry.get(entry)?.get(service);
    if (load) load.idle = idle;
  }

  /** Forgets an entry. */
  remove(entry: string): void {
    this.byEntry.delete(entry);
  }

  /** The entries that have said anything. */
  entries(): string[] {
    return [...this.byEntry.keys()];
  }

  /** The entry thought to have the most idle credits for a service. */
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

  /** Tasks of a team running through all other entries. */
  runningCount(service: string, team: string): number {
    let running = 0;
    this.byEntry.forEach((loads) => {
      const teams = loads.get(service)?.teams ?? [];
      running += teams.find((load) => load.team === team)?.running ?? 0;
    });
    return running;
  }
}
