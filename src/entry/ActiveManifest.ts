import type Versioned from '../core/Versioned';
import validateManifest from '../gen/validateManifest';
import type { Configuration } from '../gen/magnoliakeel/v1/peer_pb';
import type Manifest from '../settings/Manifest';
import type ServiceConfig from '../settings/ServiceConfig';
import type TeamConfig from '../settings/TeamConfig';

/** The active manifest, with lookups by service and team. */
export default class ActiveManifest {
  private manifest: Manifest | undefined;

  private manifestWithRemoved: Manifest | undefined;

  private readonly services = new Map<string, ServiceConfig>();

  private readonly teams = new Map<string, TeamConfig>();

  private constructor() {}

  /** Creates an instance that follows the configurations that a process adopts. */
  static follow(configurations: Versioned<Configuration>): ActiveManifest {
    const active = new ActiveManifest();
    if (configurations.number > 0n) active.apply(configurations.current);
    configurations.subscribe((configuration) => active.apply(configuration));
    return active;
  }

  /** The active manifest; undefined before the first configuration. */
  get current(): Manifest | undefined {
    return this.manifest;
  }

  /**
   * The active manifest together with removed services and teams, since jobs
   * submitted for them earlier can still be looked up.
   */
  get withRemoved(): Manifest | undefined {
    return this.manifestWithRemoved;
  }

  /**
   * A service's configuration. A service that has been removed from the manifest
   * keeps its last configuration, so that its work in flight can finish.
   */
  service(name: string): ServiceConfig | undefined {
    return this.services.get(name);
  }

  /** Whether the active manifest has the service. */
  offersService(name: string): boolean {
    return this.manifest?.services.some((service) => service.name === name) ?? false;
  }

  /** Whether new work of the team is accepted. */
  offersTeam(team: string): boolean {
    if (!this.manifest) return false;
    const { teams, system } = this.manifest;
    return team === system.defaultTeam || teams.some(({ name }) => name === team);
  }

  /** A team's weight in queues. */
  shareOf(team: string): number {
    return this.teams.get(team)?.share ?? 1;
  }

  /** How many tasks of a team may run at once; undefined if there is no limit. */
  maxRunningOf(team: string): number | undefined {
    return this.teams.get(team)?.maxRunning;
  }

  /** The longest retention of all services, in milliseconds. */
  get longestRetentionMs(): number {
    return Math.max(0, ...[...this.services.values()].map(({ retentionMs }) => retentionMs));
  }

  /**
   * Activates a configuration, with its defaults filled in. A text that is not a
   * valid manifest is ignored and the last one stays active.
   */
  private apply(configuration: Configuration): void {
    const manifest = parse(configuration.manifest);
    if (!validateManifest(manifest)) return;
    this.manifest = manifest as Manifest;
    const retired = (parse(configuration.retired) ?? {}) as Partial<Manifest>;
    [...(retired.services ?? []), ...this.manifest.services].forEach((service) =>
      this.services.set(service.name, service),
    );
    [...(retired.teams ?? []), ...this.manifest.teams].forEach((team) =>
      this.teams.set(team.name, team),
    );
    const services = [...this.services.values()];
    this.manifestWithRemoved = { ...this.manifest, services, teams: [...this.teams.values()] };
  }
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
