import type { Testimony } from '../gen/magnoliakeel/v1/peer_pb';

/** A job to be found out about, with what its former owners said of it. */
export default interface JobInquiry {
  readonly job: string;
  /** Wall-clock time at which the caller created it. */
  readonly createdMs: number;
  readonly testimonies: readonly Testimony[];
  /** Sidecars that former owners heard name the job. */
  readonly named: readonly string[];
}
