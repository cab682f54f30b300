import { create } from '@bufbuild/protobuf';
import { type BatchHolder, FollowBatchSchema, Outcome } from '../gen/magnoliakeel/v1/peer_pb';
import type EventLog from '../observe/EventLog';
import type Metrics from '../observe/Metrics';
import type LocalClaim from './LocalClaim';
import type Registrars from './Registrars';

interface HeldClaimsOptions {
  readonly log: EventLog;
  readonly metrics?: Metrics;
  readonly registrars: Registrars;
  /** The claims of this entry, held or not. */
  readonly localClaims: ReadonlyMap<string, LocalClaim>;
}

/** Keeps claims that are held known to their registrars while entries come and go. */
export default class HeldClaimRenewer {
  /** The entries that counted as registrars when that was looked at last. */
  private membersSeen = '';

  private constructor(private readonly opts: HeldClaimsOptions) {}

  /** Creates it for the claims of an entry. */
  static create(opts: HeldClaimsOptions): HeldClaimRenewer {
    return new HeldClaimRenewer(opts);
  }

  /** An entry that was absent may have come back, and has missed claims. */
  membersChanged(members: Iterable<string>): void {
    const names = [...members].sort().join();
    if (names === this.membersSeen) return;
    this.membersSeen = names;
    this.renew();
  }

  /** Claims what is held at registrars that have come, or come in the place of others. */
  renew(): void {
    const { registrars, localClaims: own } = this.opts;
    const { registrarCandidates: members } = registrars.peers;
    own.forEach((claim) => {
      if (claim.state !== 'held') return;
      registrars
        .choose(claim.batch, members)
        .filter((entry) => !claim.registrars.has(entry))
        .forEach((entry) => this.renewAt(entry, claim));
    });
  }

  private renewAt(registrar: string, claim: LocalClaim): void {
    const { registrars } = this.opts;
    registrars
      .requestClaim(registrar, registrars.peers.registrarCandidates.get(registrar), claim)
      .then((answer) => {
        if (answer?.holder) this.defend(claim, answer.holder, registrar);
      });
  }

  /** Another entry's claim is noted at a new registrar: it may have been made in vain, or hold. */
  private defend(claim: LocalClaim, holder: BatchHolder, registrar: string): void {
    const { registrars, localClaims: own } = this.opts;
    const peer = registrars.peers.findByIncarnation(holder.incarnation);
    if (!peer) return;
    const number = registrars.nextNumber();
    const { batch, number: ownNumber } = claim;
    const question = create(FollowBatchSchema, { batch, number, claim: ownNumber, isHeld: true });
    peer.follow(question, ({ outcome }) => {
      peer.unfollow(number);
      if (own.get(batch) !== claim) return;
      if (outcome !== Outcome.ABSENT && outcome !== Outcome.UNSPECIFIED) {
        this.lose(claim, holder, registrar);
        return;
      }
      claim.endedClaims.set(holder.incarnation, holder);
      this.renewAt(registrar, claim);
    });
  }

  private lose(claim: LocalClaim, holder: BatchHolder, registrar: string): void {
    const { log, metrics } = this.opts;
    log.warn('another entry has taken over a batch that is held here', {
      request: claim.batch,
      holder: holder.instance,
      registrar,
    });
    metrics?.add('batch_claims_total', 1, 'taken');
    claim.lost();
  }
}
