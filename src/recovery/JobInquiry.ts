import type { Testimony } from '../gen/magnoliakeel/v1/peer_pb';

/** A job whose state is being recovered, with the evidence from its former owners. */
export default interface JobInquiry {
  readonly job: string;
  /** Wall-clock time at which the caller created the job, in ms. */
  readonly createdMs: number;
  readonly testimonies: readonly Testimony[];
  /** Sidecars that reported the job to a former owner. */
  readonly named: readonly string[];
}
