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

/** The service limits that a sidecar uses, from the newest configuration it has received. */
export default class ActiveConfiguration {
  /** The configuration in effect. */
  readonly versioned = Versioned.of(
    create(ConfigurationSchema),
    (configuration) => configuration.version,
  );

  private readonly limits = new Map<string, ServiceLimits>();

  private constructor() {}

  /** Creates the default limits, which apply before the first configuration. */
  static create(): ActiveConfiguration {
    return new ActiveConfiguration();
  }

  /** Version of the configuration in effect; 0 before the first. */
  get version(): bigint {
    return this.versioned.number;
  }

  /** Applies a newer configuration; false for an old version, an error for text that cannot be parsed. */
  apply(configuration: Configuration): Result<boolean, string> {
    if (configuration.version <= this.version) return ok(false);
    const manifest = parse(configuration.manifest);
    if (manifest.isErr()) return err(manifest.error);
    const retired = parse(configuration.retired || '{}').unwrapOr({ services: [] });
    const services = [...(retired.services ?? []), ...(manifest.value.services ?? [])];
    // Removed services keep their limits for the work in flight.
    services.forEach((service) => this.limits.set(service.name, service));
    return ok(this.versioned.adopt(configuration));
  }

  /** How long after its creation a job's record is kept, milliseconds. */
  retentionMs(service: string): number {
    return this.limits.get(service)?.retentionMs ?? DEFAULT_RETENTION_MS;
  }

  /** Largest output of one task of the service, bytes. */
  maxOutputBytes(service: string): number {
    return this.limits.get(service)?.maxOutputBytes ?? DEFAULT_MAX_OUTPUT_BYTES;
  }
}
