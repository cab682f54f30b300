/**
 * Whether a task needs a backend server to itself, by how often it was the likeliest cause of a crash. A task
 * beside it the second time may also have been the cause, if that ran for the first time; after an exclusive
 * run the cause is certain, and nothing else is lost with the backend server.
 */
export default function needsExclusiveBackend(suspicion: number): boolean {
  return suspicion >= MIN_EXCLUSIVE_SUSPICION;
}

const MIN_EXCLUSIVE_SUSPICION = 2;
