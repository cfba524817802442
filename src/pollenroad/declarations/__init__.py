"""What operators declare: read, checked, rendered, compared and told in plain sentences.

JSON files and documents go in; documents, problems and sentences leave.
"""
