import { create } from '@bufbuild/protobuf';
import {
  type DrainedZones as DrainedZonesMessage,
  DrainedZonesSchema,
} from '../gen/magnoliakeel/v1/peer_pb';
import type PeerMessage from '../link/PeerMessage';

/**
 * The availability zones that operators have drained: backend servers there get no new work until the zone is
 * enabled again. Always the complete set at a revision of the store, so that a set with a higher revision replaces
 * one with a lower revision, whichever process sent it.
 */
export default class DrainedZones {
  /** The state before anything was received from the store. */
  static readonly none = new DrainedZones(0n, []);

  private constructor(
    /** The store's revision at which these zones were drained. */
    readonly revision: bigint,
    /** Names of the drained zones, sorted. */
    readonly zones: readonly string[],
  ) {}

  /** Creates the set of zones that were drained at a revision of the store. */
  static of(revision: bigint, zones: Iterable<string>): DrainedZones {
    return new DrainedZones(revision, [...zones].sort());
  }

  /** Converts the message of another process. */
  static fromMessage({ revision, zones }: DrainedZonesMessage): DrainedZones {
    return DrainedZones.of(revision, zones);
  }

  /** Whether a zone is drained. */
  has(zone: string): boolean {
    return this.zones.includes(zone);
  }

  /** Whether the same zones are drained; the revisions may differ. */
  hasSameZones({ zones }: DrainedZones): boolean {
    return this.zones.length === zones.length && zones.every((zone) => this.has(zone));
  }

  /** The set as a message to another process. */
  get message(): PeerMessage {
    const { revision, zones } = this;
    return {
      case: 'drainedZones',
      value: create(DrainedZonesSchema, { revision, zones: [...zones] }),
    };
  }
}
