/**
 * Whether a task gets a backend server for itself, by how often it was the likeliest cause of a crash. What ran
 * beside it the second time may have been the cause as well, if it was started for the first time there; after
 * a run alone it is certain, and nothing else is lost with the backend server.
 */
export default function needsExclusiveBackend(suspicion: number): boolean {
  return suspicion >= MIN_EXCLUSIVE_SUSPICION;
}

const MIN_EXCLUSIVE_SUSPICION = 2;
