import { create } from '@bufbuild/protobuf';
import {
  type DrainedZones as DrainedZonesMessage,
  DrainedZonesSchema,
} from '../gen/magnoliakeel/v1/peer_pb';
import type PeerMessage from '../link/PeerMessage';

/**
 * The availability zones that operators have drained: backend servers there get nothing new until the zone is
 * taken back. All of them are named, as the store had them at a revision, so that a later word replaces an
 * earlier one whoever tells it.
 */
export default class DrainedZones {
  /** What holds before anything was heard of the store. */
  static readonly none = new DrainedZones(0n, []);

  private constructor(
    /** The store's revision that this reaches up to. */
    readonly revision: bigint,
    /** Their names, in order. */
    readonly zones: readonly string[],
  ) {}

  /** The zones that were drained at a revision of the store. */
  static of(revision: bigint, zones: Iterable<string>): DrainedZones {
    return new DrainedZones(revision, [...zones].sort());
  }

  /** Reads what another process has told. */
  static fromMessage({ revision, zones }: DrainedZonesMessage): DrainedZones {
    return DrainedZones.of(revision, zones);
  }

  /** Whether a zone is drained. */
  has(zone: string): boolean {
    return this.zones.includes(zone);
  }

  /** Whether the same zones are drained, at whatever revisions. */
  hasSameZones({ zones }: DrainedZones): boolean {
    return this.zones.length === zones.length && zones.every((zone) => this.has(zone));
  }

  /** The same as a message to another process. */
  get message(): PeerMessage {
    const { revision, zones } = this;
    return {
      case: 'drainedZones',
      value: create(DrainedZonesSchema, { revision, zones: [...zones] }),
    };
  }
}
