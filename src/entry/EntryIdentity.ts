import { create } from '@bufbuild/protobuf';
import {
  type Hello,
  HelloSchema,
  type Member,
  MemberSchema,
  Role,
} from '../gen/magnoliakeel/v1/peer_pb';
import PROTOCOL_VERSION from '../link/PROTOCOL_VERSION';
import type EntryOptions from './EntryOptions';

/** How an entry identifies itself to other processes and in the view. */
export default class EntryIdentity {
  private constructor(
    private readonly options: EntryOptions,
    private readonly peerAddress: () => string | undefined,
  ) {}

  /** Creates the identity of an entry; `peerAddress` returns the bound address once it listens. */
  static of(options: EntryOptions, peerAddress: () => string | undefined): EntryIdentity {
    return new EntryIdentity(options, peerAddress);
  }

  /** The first message that this entry sends on each link. */
  hello(): Hello {
    const { settings, incarnation } = this.options;
    return create(HelloSchema, {
      protocol: PROTOCOL_VERSION,
      cluster: settings.cluster,
      role: Role.ENTRY,
      instance: settings.instance,
      incarnation,
      zone: settings.zone,
      address: this.address,
      operators: this.operators,
    });
  }

  /** This entry as a member of the view. */
  member(): Member {
    const { settings, incarnation } = this.options;
    return create(MemberSchema, {
      instance: settings.instance,
      incarnation,
      address: this.address,
      zone: settings.zone,
      operators: this.operators,
    });
  }

  /**
   * The advertised address. If it is the listening address, which may have port 0,
   * the bound address is used.
   */
  private get address(): string {
    const { advertise, listen } = this.options.settings;
    return advertise === listen.peers ? (this.peerAddress() ?? advertise) : advertise;
  }

  private get operators(): string {
    return this.options.operators?.() ?? '';
  }
}
