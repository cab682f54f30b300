import type Versioned from '../core/Versioned';
import validateManifest from '../gen/validateManifest';
import type { Configuration } from '../gen/magnoliakeel/v1/peer_pb';
import type Manifest from '../settings/Manifest';
import type ServiceConfig from '../settings/ServiceConfig';
import type TeamConfig from '../settings/TeamConfig';

/** The manifest in force, with the look-ups that the parts of an entry make. */
export default class ActiveManifest {
  private manifest: Manifest | undefined;

  private all: Manifest | undefined;

  private readonly services = new Map<string, ServiceConfig>();

  private readonly teams = new Map<string, TeamConfig>();

  private constructor() {}

  /** Follows the configurations that a process adopts. */
  static follow(configurations: Versioned<Configuration>): ActiveManifest {
    const view = new ActiveManifest();
    if (configurations.number > 0n) view.read(configurations.current);
    configurations.subscribe((configuration) => view.read(configuration));
    return view;
  }

  /** The manifest; undefined before the first configuration. */
  get current(): Manifest | undefined {
    return this.manifest;
  }

  /**
   * The manifest together with the services and teams that were removed: what
   * was submitted for them before can still be asked for.
   */
  get withRemoved(): Manifest | undefined {
    return this.all;
  }

  /**
   * A service's configuration. One that has been removed from the manifest
   * stays known as it last was, so that its work in flight can finish.
   */
  service(name: string): ServiceConfig | undefined {
    return this.services.get(name);
  }

  /** Whether the manifest in force has the service. */
  offers(name: string): boolean {
    return this.manifest?.services.some((service) => service.name === name) ?? false;
  }

  /** Whether new work of the team is taken. */
  offersTeam(team: string): boolean {
    if (!this.manifest) return false;
    const { teams, system } = this.manifest;
    return team === system.defaultTeam || teams.some(({ name }) => name === team);
  }

  /** A team's weight in queues. */
  shareOf(team: string): number {
    return this.teams.get(team)?.share ?? 1;
  }

  /** How many tasks of a team may run at once; undefined for no limit. */
  maxRunningOf(team: string): number | undefined {
    return this.teams.get(team)?.maxRunning;
  }

  /** The longest retention of all services, in milliseconds. */
  get longestRetentionMs(): number {
    return Math.max(0, ...[...this.services.values()].map(({ retentionMs }) => retentionMs));
  }

  /** Puts a configuration in force, with its defaults filled in; what is no manifest leaves the last one. */
  private read(configuration: Configuration): void {
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
    this.all = { ...this.manifest, services, teams: [...this.teams.values()] };
  }
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
