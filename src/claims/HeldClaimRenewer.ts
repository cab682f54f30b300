import { create } from '@bufbuild/protobuf';
import { type BatchHolder, FollowBatchSchema, Outcome } from '../gen/magnoliakeel/v1/peer_pb';
import type EventLog from '../observe/EventLog';
import type Metrics from '../observe/Metrics';
import type LocalClaim from './LocalClaim';
import type Registrars from './Registrars';

interface HeldClaimRenewerOptions {
  readonly log: EventLog;
  readonly metrics?: Metrics;
  readonly registrars: Registrars;
  /** The claims of this entry, held or not, by batch. */
  readonly localClaims: ReadonlyMap<string, LocalClaim>;
}

/** Keeps the claims that this entry holds recorded at their registrars as the registrars of a batch change. */
export default class HeldClaimRenewer {
  /** The registrar candidates at the last call of `membersChanged`. */
  private lastMembers = '';

  private constructor(private readonly opts: HeldClaimRenewerOptions) {}

  /** Creates the renewer for the claims of an entry. */
  static create(opts: HeldClaimRenewerOptions): HeldClaimRenewer {
    return new HeldClaimRenewer(opts);
  }

  /** Renews held claims if the candidates have changed: one that was unreachable may be back and have missed claims. */
  membersChanged(members: Iterable<string>): void {
    const names = [...members].sort().join();
    if (names === this.lastMembers) return;
    this.lastMembers = names;
    this.renew();
  }

  /** Requests held claims from registrars that do not have them yet. */
  renew(): void {
    const { registrars, localClaims } = this.opts;
    const { registrarCandidates: candidates } = registrars.peers;
    localClaims.forEach((claim) => {
      if (claim.state !== 'held') return;
      registrars
        .choose(claim.batch, candidates)
        .filter((entry) => !claim.registrars.has(entry))
        .forEach((entry) => this.renewAt(entry, claim));
    });
  }

  private renewAt(registrar: string, claim: LocalClaim): void {
    const { registrars } = this.opts;
    registrars
      .requestClaim(registrar, registrars.peers.registrarCandidates.get(registrar), claim)
      .then((answer) => {
        if (answer?.holder) this.verifyHolder(claim, answer.holder, registrar);
      });
  }

  /** Asks the holder of a conflicting claim at a new registrar whether its claim has ended or it runs the batch. */
  private verifyHolder(claim: LocalClaim, holder: BatchHolder, registrar: string): void {
    const { registrars, localClaims } = this.opts;
    const peer = registrars.peers.byProcess(holder.incarnation);
    if (!peer) return;
    const number = registrars.nextNumber();
    const { batch, number: ownNumber } = claim;
    const request = create(FollowBatchSchema, { batch, number, claim: ownNumber, isHeld: true });
    peer.follow(request, ({ outcome }) => {
      peer.unfollow(number);
      if (localClaims.get(batch) !== claim) return;
      if (outcome !== Outcome.ABSENT && outcome !== Outcome.UNSPECIFIED) {
        this.handleLoss(claim, holder, registrar);
        return;
      }
      claim.endedClaims.set(holder.incarnation, holder);
      this.renewAt(registrar, claim);
    });
  }

  private handleLoss(claim: LocalClaim, holder: BatchHolder, registrar: string): void {
    const { log, metrics } = this.opts;
    log.warn('another entry has taken over a batch held here', {
      request: claim.batch,
      holder: holder.instance,
      registrar,
    });
    metrics?.add('batch_claims_total', 1, 'taken');
    claim.onLost();
  }
}
