import { create } from '@bufbuild/protobuf';
import { err, ok, Result } from 'neverthrow';
import Versioned from '../core/Versioned';
import { ConfigurationSchema, type Configuration } from '../gen/magnoliakeel/v1/peer_pb';

const DEFAULT_RETENTION_MS = 600_000;
const DEFAULT_MAX_OUTPUT_BYTES = 65_536;

interface ServiceLimits {
  readonly name: string;
  readonly retentionMs?: number;
  readonly maxOutputBytes?: number;
}

const parse = Result.fromThrowable(
  (text: string) => JSON.parse(text) as { readonly services?: ServiceLimits[] },
  (cause) => String(cause),
);

/** What a sidecar needs of the newest configuration that it has heard of. */
export default class Services {
  /** The newest configuration that was put in force. */
  readonly newest = Versioned.of(
    create(ConfigurationSchema),
    (configuration) => configuration.version,
  );

  private readonly limits = new Map<string, ServiceLimits>();

  private constructor() {}

  /** Creates the limits that hold before any configuration is known. */
  static create(): Services {
    return new Services();
  }

  /** The version in force; 0 before the first. */
  get version(): bigint {
    return this.newest.number;
  }

  /** Puts a newer configuration in force; false for an old one, an error for one that cannot be read. */
  adopt(configuration: Configuration): Result<boolean, string> {
    if (configuration.version <= this.version) return ok(false);
    const manifest = parse(configuration.manifest);
    if (manifest.isErr()) return err(manifest.error);
    const retired = parse(configuration.retired || '{}').unwrapOr({ services: [] });
    const services = [...(retired.services ?? []), ...(manifest.value.services ?? [])];
    // A removed service keeps its limits for the work in flight.
    services.forEach((service) => this.limits.set(service.name, service));
    return ok(this.newest.adopt(configuration));
  }

  /** How long after its creation a job of the service is kept, milliseconds. */
  retentionMs(service: string): number {
    return this.limits.get(service)?.retentionMs ?? DEFAULT_RETENTION_MS;
  }

  /** Largest output of one task of the service. */
  maxOutputBytes(service: string): number {
    return this.limits.get(service)?.maxOutputBytes ?? DEFAULT_MAX_OUTPUT_BYTES;
  }
}
