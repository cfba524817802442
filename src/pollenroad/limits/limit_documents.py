"""The documents in force that define limits and the owners of their shares."""

from pollenroad.limits.limit_shares import ShareOwners, choose_owners, owner_candidates
from pollenroad.models import CustomerLimit, Document, ServiceDocument, WorkspaceDocument


class LimitDocuments:
    """Workspaces and services in force, and the candidate owners of each workspace's limits."""

    def __init__(self):
        self._workspace_by_name: dict[str, WorkspaceDocument] = {}
        self._service_by_key: dict[str, ServiceDocument] = {}
        self._candidates_by_workspace: dict[str, dict[str, str]] = {}

    def configure(self, document: Document) -> WorkspaceDocument | None:
        """Put a newer document in force.

        Returns:
            The workspace whose limits it may affect, or None if that workspace is not in force yet.
        """
        match document:
            case WorkspaceDocument():
                self._workspace_by_name[document.workspace] = document
            case ServiceDocument():
                self._service_by_key[document.key] = document
        workspace = self._workspace_by_name.get(document.workspace)
        if workspace is not None:
            candidates = owner_candidates(workspace, self._service_by_key.values())
            self._candidates_by_workspace[workspace.workspace] = candidates
        return workspace

    def workspace(self, name: str) -> WorkspaceDocument | None:
        """Return the workspace document in force, or None if there is none."""
        return self._workspace_by_name.get(name)

    def owners(self, workspace: str, limit: CustomerLimit) -> tuple[ShareOwners, ...]:
        """Return the owners of each share of a customer's limit; the workspace must be in force."""
        return choose_owners(workspace, limit, self._candidates_by_workspace[workspace])
